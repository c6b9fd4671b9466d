package quota

import (
	"slices"
	"time"
)

// share is what one process may have in force of one limit, as the leader knows it.
type share struct {
	session *session
	ledger  *ledger
	demand  float64
	waiting int
	// held is the allotment that the process has confirmed, sent the one of the last
	// reply. Until the process reports which of them it has applied, either may be in
	// force.
	held, sent Allotment
	// tokens were handed over and not reported as used; sentTokens are those of the last
	// reply.
	tokens, sentTokens float64
	sentFill           float64 // tokens for the bucket of the last reply's allotment
	returned           float64
	refused            uint64
	target             Allotment
	// turn orders the shares by the tokens that they got; wantedAt is the last time at
	// which requests waited that got none, zero if they have got theirs.
	turn     float64
	wantedAt time.Duration
}

// counted returns what may be in force at the process.
func (s *share) counted() Allotment {
	a := s.held.union(s.sent)
	if s.session.countSentOnly {
		a = s.sent
	}
	a.Burst += s.tokens + s.sentTokens
	return a
}

// isIdle reports whether the share can be forgotten.
func (s *share) isIdle() bool {
	return s.demand == 0 && s.waiting == 0 && s.counted() == Allotment{} && s.returned == 0
}

// ledger is the account of one limit: the shares of all processes, and the reserve, which
// is the rest of the limit and the tokens in it.
type ledger struct {
	name  string
	limit Limit
	// removedAt is the time since which the document has no such limit, if removed is set.
	removed   bool
	removedAt time.Duration
	// restricted is set while processes that have not reported may hold parts of the
	// limit. pool is what the others have reported in this term.
	restricted bool
	pool       Allotment
	central    bool // see Config.CentralRate
	quick      bool // see Config.isQuick
	single     bool // processes get no allotments, only single tokens
	reserve    bucket
	shares     []*share
	active     int       // shares with demand, at the last plan
	counted    Allotment // sum over the shares
	short      bool      // processes need more than they have, or the reserve is used up
	dirty      bool
	plannedAt  time.Duration
	refused    uint64 // by all processes, in this term
}

// budget returns what may be in force at all processes and in the reserve together.
func (l *ledger) budget() Allotment {
	if l.removed {
		return Allotment{}
	}
	whole := Allotment{Rate: l.limit.Rate, Burst: l.limit.Burst}
	if l.quick {
		whole.Burst -= quickPart(l.limit)
	}
	if !l.restricted {
		return whole
	}
	if !l.central {
		whole.Rate = min(whole.Rate, l.pool.Rate)
	} // of central limits, processes hold no rate
	held := l.pool.Burst
	if l.quick {
		held += l.kept() // processes never hold these
	}
	whole.Burst = min(whole.Burst, held)
	return whole
}

// change changes a share and adjusts the reserve.
func (l *ledger) change(now time.Duration, s *share, f func()) {
	before := s.counted()
	f()
	after := s.counted()
	if before != after {
		l.counted.Rate += after.Rate - before.Rate
		l.counted.Burst += after.Burst - before.Burst
		l.dirty = true
		l.adjustReserve(now)
	}
}

// adjustReserve sets the reserve to what remains of the budget.
func (l *ledger) adjustReserve(now time.Duration) {
	budget := l.budget()
	l.reserve.set(now, Allotment{Rate: max(budget.Rate-l.counted.Rate, 0), Burst: max(budget.Burst-l.counted.Burst, 0)})
}

// recount computes the sum of the shares anew, so that rounding errors do not add up.
func (l *ledger) recount(now time.Duration) {
	l.counted = Allotment{}
	for _, s := range l.shares {
		c := s.counted()
		l.counted.Rate += c.Rate
		l.counted.Burst += c.Burst
	}
	l.adjustReserve(now)
}

// remove forgets an idle share.
func (l *ledger) remove(s *share) {
	if i := slices.Index(l.shares, s); i >= 0 {
		l.shares[i] = l.shares[len(l.shares)-1]
		l.shares = l.shares[:len(l.shares)-1]
		l.dirty = true
	}
}

// isForgettable reports whether a limit was removed so long ago that nothing of it can be
// in force.
func (l *ledger) isForgettable(now, lost time.Duration) bool {
	return l.removed && len(l.shares) == 0 && now-l.removedAt > lost
}

// planInterval is the time between two divisions of a limit.
const planInterval = 100 * time.Millisecond

// plan divides the limit anew if something has changed.
func (l *ledger) plan(now time.Duration) {
	if !l.dirty || now-l.plannedAt < planInterval {
		return
	}
	l.dirty, l.plannedAt = false, now
	l.recount(now)
	l.active = 0
	demands := make([]float64, len(l.shares))
	for i, s := range l.shares {
		demands[i] = s.demand
		if s.waiting > 0 {
			demands[i] = max(demands[i], minDemand)
		}
		if demands[i] > 0 {
			l.active++
		}
	}
	l.single = l.central || isTooSmall(l.limit, l.active, l.single)
	targets, short := divide(l.limit, demands, l.single)
	for i, s := range l.shares {
		s.target = targets[i]
	}
	l.short = short || l.reserve.Rate < l.limit.Rate*reserveShare/2
}

// free returns what of the reserve may become part of allotments.
func (l *ledger) free() Allotment {
	free := l.reserve.Allotment
	free.Burst = max(free.Burst-(l.limit.Burst-sharedBurst(l.limit)), 0)
	if !l.short {
		free.Rate = max(free.Rate-l.limit.Rate*reserveShare/2, 0)
	}
	return free
}
