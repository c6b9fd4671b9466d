package raftdriver

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// ElapsedTicks returns the number of ticks of length interval that have passed
// between last and now, and the reading up to which they are counted. At most
// limit ticks are returned; further ones are discarded.
//
// A leader (leads is set) counts by the larger of monotonic and wall time:
// after its machine was suspended, it must notice that it may have lost its
// quorum. A follower counts monotonic time only: a forward step of its wall
// clock must not let it vote early for another replica while the leader may
// still rely on its promise not to.
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
