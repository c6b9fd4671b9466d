package quota

import (
	"math"
	"time"
)

// tolerance makes up for rounding errors when tokens are compared with whole numbers.
const tolerance = 1e-6

// bucket is a token bucket.
type bucket struct {
	Allotment
	tokens float64
	at     time.Duration // time of tokens
}

// advance adds the tokens up to now. Times that go back are ignored.
func (b *bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.Burst, b.tokens+b.Rate*(now-b.at).Seconds())
	b.at = now
}

// set changes the rate and the burst from now on. Tokens above the burst are lost.
func (b *bucket) set(now time.Duration, a Allotment) {
	b.advance(now)
	b.Allotment = a
	b.tokens = min(b.tokens, a.Burst)
}

// add adds tokens, as far as the burst allows.
func (b *bucket) add(tokens float64) { b.tokens = max(b.tokens, min(b.Burst, b.tokens+tokens)) }

// take removes one token and reports whether there was one.
func (b *bucket) take(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1-tolerance {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// nextToken returns the time until the bucket has one token.
func (b *bucket) nextToken(now time.Duration) time.Duration {
	b.advance(now)
	return tokenTime(1-b.tokens, b.Rate)
}

// maxRetry bounds the times that refused requests are given.
const maxRetry = 10 * time.Second

// tokenTime returns the time in which a rate gives a number of tokens, at most maxRetry.
func tokenTime(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	seconds := tokens / rate
	if math.IsNaN(seconds) || seconds > maxRetry.Seconds() {
		return maxRetry
	}
	return time.Duration(seconds * float64(time.Second))
}

// schedule spreads the times at which refused requests are to return, so that they do
// not all return for the same token.
type schedule struct{ last time.Duration }

// next returns the time from now to the next return, which is at least first, and later
// than the one before by the time of one token.
func (s *schedule) next(now, first time.Duration, rate float64) time.Duration {
	at := max(now+first, min(s.last+tokenTime(1, rate), now+maxRetry))
	s.last = at
	return at - now
}
