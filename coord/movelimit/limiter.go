package movelimit

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Limiter decides when planned moves may start. The control leader owns it, and
// its state is not replicated. It is not safe for concurrent use.
type Limiter struct {
	cfg              Config
	moves            map[shard.Unit]table.MemberID
	movesPerReceiver map[table.MemberID]int
	totalBucket      bucket
	receiverBuckets  map[table.MemberID]*bucket
}

// New returns a limiter without moves in progress and with full buckets.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:              cfg,
		moves:            map[shard.Unit]table.MemberID{},
		movesPerReceiver: map[table.MemberID]int{},
		receiverBuckets:  map[table.MemberID]*bucket{},
	}
}

// TryStart reports whether a move of u to a receiver may start now, and counts it
// as in progress if so. It returns false if u is already moving. Ramp is the
// fraction of the receiver's capacity that is available during its slow start, from
// 0 to 1; it scales the receiver's limits.
func (l *Limiter) TryStart(now clock.Reading, u shard.Unit, to table.MemberID, ramp float64) bool {
	if _, moving := l.moves[u]; moving {
		return false
	}
	if len(l.moves) >= l.cfg.MaxInProgress || l.movesPerReceiver[to] >= l.maxInProgress(ramp) {
		return false
	}
	r := l.receiverBuckets[to]
	if r == nil {
		r = &bucket{}
		l.receiverBuckets[to] = r
	}
	rate := l.cfg.StartsPerSecondPerReceiver * clamp(ramp)
	r.refill(now, rate, rate*l.cfg.BurstPeriod.Seconds())
	l.totalBucket.refill(now, l.cfg.StartsPerSecond, l.cfg.StartsPerSecond*l.cfg.BurstPeriod.Seconds())
	if r.tokens < 1 || l.totalBucket.tokens < 1 {
		return false
	}
	r.tokens--
	l.totalBucket.tokens--
	l.add(u, to)
	return true
}

// maxInProgress returns the limit on moves in progress to one receiver. It is at
// least 1, so that a receiver at the start of its ramp gets units; the rate limit
// still applies to it.
func (l *Limiter) maxInProgress(ramp float64) int {
	return max(int(float64(l.cfg.MaxInProgressPerReceiver)*clamp(ramp)), 1)
}

// SetInProgress replaces the moves in progress by the given receivers of moving
// units, so that moves of an earlier leader count and abandoned moves do not.
func (l *Limiter) SetInProgress(moving map[shard.Unit]table.MemberID) {
	clear(l.moves)
	clear(l.movesPerReceiver)
	for u, to := range moving {
		l.add(u, to)
	}
}

// Remove drops the rate limit of a receiver that was removed from the directory.
func (l *Limiter) Remove(m table.MemberID) { delete(l.receiverBuckets, m) }

// InProgress returns the number of moves in progress.
func (l *Limiter) InProgress() int { return len(l.moves) }

func (l *Limiter) add(u shard.Unit, to table.MemberID) {
	l.moves[u] = to
	l.movesPerReceiver[to]++
}

func clamp(x float64) float64 { return min(max(x, 0), 1) }
