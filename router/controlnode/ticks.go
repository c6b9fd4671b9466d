package controlnode

import (
	"bramleyquay.example/coord/clock"
)

// ticks returns the ticks that have passed between last and now, and the
// reading up to which they are counted.
//
// A leader counts by the larger of both clocks: after a suspension of its
// machine it must know that its time is over. A follower counts monotonic time
// only: a forward step of its wall clock must not end its promise to vote for
// nobody while the leader may still rely on it.
func ticks(last, now clock.Reading, leads bool) (int, clock.Reading) {
	elapsed := now.MonoSince(last)
	if leads {
		elapsed = now.Since(last)
	}
	n := int(elapsed / tickInterval)
	if n == 0 {
		return 0, last
	}
	rest := elapsed % tickInterval
	return min(n, maxCatchUpTicks), now.Add(-rest)
}
