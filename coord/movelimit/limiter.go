package movelimit

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Limiter decides when the next planned move may start. It is volatile and
// belongs to the control leader.
type Limiter struct {
	cfg       Config
	moves     map[shard.Unit]table.MemberID
	perTarget map[table.MemberID]int
	total     bucket
	receivers map[table.MemberID]*bucket
}

// New returns a limiter without moves in progress.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:       cfg,
		moves:     map[shard.Unit]table.MemberID{},
		perTarget: map[table.MemberID]int{},
		receivers: map[table.MemberID]*bucket{},
	}
}

// TryStart starts a move of u to a receiver if the limits allow it. Ramp is the
// receiver's present share of its full capacity, from 0 to 1.
func (l *Limiter) TryStart(now clock.Reading, u shard.Unit, to table.MemberID, ramp float64) bool {
	if _, moving := l.moves[u]; moving {
		return false
	}
	if len(l.moves) >= l.cfg.InFlight || l.perTarget[to] >= l.inFlight(ramp) {
		return false
	}
	r := l.receivers[to]
	if r == nil {
		r = &bucket{}
		l.receivers[to] = r
	}
	rate := l.cfg.ReceiverPerSecond * clamp(ramp)
	r.refill(now, rate, rate*l.cfg.Burst.Seconds())
	l.total.refill(now, l.cfg.PerSecond, l.cfg.PerSecond*l.cfg.Burst.Seconds())
	if r.tokens < 1 || l.total.tokens < 1 {
		return false
	}
	r.tokens--
	l.total.tokens--
	l.add(u, to)
	return true
}

// inFlight is at least 1, so that a receiver at the start of its ramp
// progresses; its rate limit bounds it.
func (l *Limiter) inFlight(ramp float64) int {
	return max(int(float64(l.cfg.ReceiverInFlight)*clamp(ramp)), 1)
}

// SetInProgress replaces the moves in progress by those that the state shows, so
// that moves of an earlier leader count and abandoned ones do not.
func (l *Limiter) SetInProgress(moving map[shard.Unit]table.MemberID) {
	clear(l.moves)
	clear(l.perTarget)
	for u, to := range moving {
		l.add(u, to)
	}
}

// Remove drops what is known of a receiver that was removed.
func (l *Limiter) Remove(m table.MemberID) { delete(l.receivers, m) }

// InProgress returns the number of moves in progress.
func (l *Limiter) InProgress() int { return len(l.moves) }

func (l *Limiter) add(u shard.Unit, to table.MemberID) {
	l.moves[u] = to
	l.perTarget[to]++
}

func clamp(x float64) float64 { return min(max(x, 0), 1) }
