package movelimit

import "bramleyquay.example/coord/clock"

// bucket is a token bucket. It starts full.
type bucket struct {
	tokens float64
	at     clock.Reading
	used   bool
}

// refill adds the tokens for the time since the last call. The bucket holds at
// least one token, or a low rate would never allow a move. Only monotonic
// time counts: a step of the wall clock must not allow a burst.
func (b *bucket) refill(now clock.Reading, perSecond, size float64) {
	size = max(size, 1)
	if !b.used {
		b.tokens, b.used = size, true
	} else {
		b.tokens = min(b.tokens+now.MonoSince(b.at).Seconds()*perSecond, size)
	}
	b.at = now
}
