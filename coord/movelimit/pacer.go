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

// New returns a pacer without moves in progress.
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
func (p *Limiter) TryStart(now clock.Reading, u shard.Unit, to table.MemberID, ramp float64) bool {
	if _, moving := p.moves[u]; moving {
		return false
	}
	if len(p.moves) >= p.cfg.InFlight || p.perTarget[to] >= p.inFlight(ramp) {
		return false
	}
	r := p.receivers[to]
	if r == nil {
		r = &bucket{}
		p.receivers[to] = r
	}
	rate := p.cfg.ReceiverPerSecond * clamp(ramp)
	r.refill(now, rate, rate*p.cfg.Burst.Seconds())
	p.total.refill(now, p.cfg.PerSecond, p.cfg.PerSecond*p.cfg.Burst.Seconds())
	if r.tokens < 1 || p.total.tokens < 1 {
		return false
	}
	r.tokens--
	p.total.tokens--
	p.add(u, to)
	return true
}

// inFlight is at least 1, so that a receiver at the start of its ramp
// progresses; its rate limit bounds it.
func (p *Limiter) inFlight(ramp float64) int {
	return max(int(float64(p.cfg.ReceiverInFlight)*clamp(ramp)), 1)
}

// SetInProgress replaces the moves in progress by those that the state shows, so
// that moves of an earlier leader count and abandoned ones do not.
func (p *Limiter) SetInProgress(moving map[shard.Unit]table.MemberID) {
	clear(p.moves)
	clear(p.perTarget)
	for u, to := range moving {
		p.add(u, to)
	}
}

// Remove drops what is known of a receiver that was removed.
func (p *Limiter) Remove(m table.MemberID) { delete(p.receivers, m) }

// InProgress returns the number of moves in progress.
func (p *Limiter) InProgress() int { return len(p.moves) }

func (p *Limiter) add(u shard.Unit, to table.MemberID) {
	p.moves[u] = to
	p.perTarget[to]++
}

func clamp(x float64) float64 { return min(max(x, 0), 1) }
