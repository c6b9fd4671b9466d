package movelimit

import "bramleyquay.example/coord/clock"

// bucket is a token bucket. It starts full.
type bucket struct {
	tokens      float64
	lastRefill  clock.Reading
	initialized bool
}

// refill adds the tokens for the time since the last call, up to size. A size
// below 1 counts as 1, because otherwise a low rate would never allow a move. Only
// monotonic time counts, so that a step of the wall clock does not allow a burst.
func (b *bucket) refill(now clock.Reading, perSecond, size float64) {
	size = max(size, 1)
	if !b.initialized {
		b.tokens, b.initialized = size, true
	} else {
		b.tokens = min(b.tokens+now.MonoSince(b.lastRefill).Seconds()*perSecond, size)
	}
	b.lastRefill = now
}
