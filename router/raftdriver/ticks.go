package raftdriver

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// ElapsedTicks returns the ticks of length interval that have passed between last
// and now, at most limit, and the reading up to which they are counted.
//
// A leader counts by the larger of both clocks: after a suspension of its
// machine it must know that its time is over. A follower counts monotonic time
// only: a forward step of its wall clock must not end its promise to vote for
// nobody while the leader may still rely on it.
func ElapsedTicks(last, now clock.Reading, leads bool, interval time.Duration, limit int) (int, clock.Reading) {
	elapsed := now.MonoSince(last)
	if leads {
		elapsed = now.Since(last)
	}
	n := int(elapsed / interval)
	if n == 0 {
		return 0, last
	}
	return min(n, limit), now.Add(-(elapsed % interval))
}
