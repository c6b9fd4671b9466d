package quota

import (
	"math"
	"time"
)

const (
	// wantTime is the time for which a process that wanted tokens has a turn. It renews
	// several times in it.
	wantTime = time.Second
	// supplyTime is the time for which handed over tokens should last: one renewal
	// interval.
	supplyTime = 0.4 // seconds
	// maxWait bounds the time after which a process may ask for tokens again. Others may
	// need fewer in the meantime.
	maxWait = time.Second
)

// tokensFor returns the numbers of tokens to hand over to a share now: for requests that
// wait, if those count as used at once, and to hold.
func (l *ledger) tokensFor(now time.Duration, s *share) (quick, held float64) {
	if s.waiting == 0 && (s.demand == 0 || !l.single) {
		return 0, 0
	}
	l.reserve.advance(now)
	waiting, supply := max(float64(s.waiting)-s.tokens, 0), l.supply(s)
	missing := max(float64(s.waiting)+supply-s.tokens-waiting, 0)
	if waiting+missing == 0 {
		return 0, 0
	}
	if waiting > 0 {
		l.enqueue(now, s)
	}
	available := math.Floor(l.reserve.tokens + tolerance)
	switch {
	case available < 1:
		return 0, 0
	case l.single:
		available = max(available-l.aheadOf(now, s), 0)
	default:
		available = max(math.Floor(available/2), 1)
	}
	quick = min(waiting, available)
	if waiting > 0 && quick == waiting {
		s.wantedAt = 0
	}
	rest := available - quick
	if l.single && !s.isWanting(now) {
		rest = max(rest-l.kept(), 0)
	}
	held = min(missing, rest)
	if l.quick {
		held = min(held, max(math.Floor(l.reserve.Burst+tolerance-l.kept()), 0))
	}
	if waiting == 0 && held > 0 {
		s.wantedAt = 0 // the token is for the next request, in place of the refused one
	}
	if !l.quick {
		quick, held = 0, quick+held
	}
	return quick, held
}

// supply returns the number of tokens that a process should hold for the requests until
// its next renewal, beside those for waiting ones.
func (l *ledger) supply(s *share) float64 {
	supply := math.Ceil(s.demand * supplyTime)
	if l.single && l.active > 0 {
		supply = min(supply, math.Floor((l.limit.Burst-l.kept())/float64(l.active)))
	}
	return max(supply, 0)
}

// kept returns the number of tokens, of those handed out singly, that are kept for processes where
// requests wait. Others would hold all of them, also while the account is far below its
// limit. If those for waiting requests count as used at once, processes together never hold
// the kept ones, so that a new leader has them although it has not heard from all.
func (l *ledger) kept() float64 { return min(2, math.Floor(l.limit.Burst/2)) }

// shouldDrop reports whether a process has to give back the tokens that it holds: the
// limit was lowered, or too many processes share it.
func (l *ledger) shouldDrop(s *share) bool {
	if s.tokens == 0 || s.waiting > 0 {
		return false
	}
	return l.counted.Burst > l.budget().Burst+tolerance || l.single && l.supply(s) == 0
}

// isWanting reports whether requests of the process have recently waited for tokens and
// got none.
func (s *share) isWanting(now time.Duration) bool {
	return s.wantedAt > 0 && now-s.wantedAt <= wantTime
}

// enqueue records that a process wants tokens. One that did not before does not make up
// for the tokens of its absence.
func (l *ledger) enqueue(now time.Duration, s *share) {
	if !s.isWanting(now) {
		first := math.Inf(1)
		for _, other := range l.shares {
			if other != s && other.isWanting(now) {
				first = min(first, other.turn)
			}
		}
		if !math.IsInf(first, 1) {
			s.turn = max(s.turn, first-1) // it gets the next token
		}
	}
	s.wantedAt = now
}

// aheadOf returns the number of processes that want tokens and have got fewer. Without
// it, the tokens would go to those whose renewals follow the refill.
func (l *ledger) aheadOf(now time.Duration, s *share) (ahead float64) {
	for _, other := range l.shares {
		if other != s && other.isWanting(now) && other.turn+1 <= s.turn {
			ahead++
		}
	}
	return ahead
}

// wait returns the time after which a process without a token should ask again: when
// those ahead of it have got theirs.
func (l *ledger) wait(now time.Duration, s *share) time.Duration {
	l.reserve.advance(now)
	wait := tokenTime(1+l.aheadOf(now, s)-l.reserve.tokens, l.reserve.Rate)
	return min(max(wait, time.Millisecond), maxWait)
}
