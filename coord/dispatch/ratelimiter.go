package dispatch

import "time"

// rateLimiter limits starts to a rate. After idle time it allows a burst of
// burstDuration at that rate, so that requests that arrive together need not wait;
// it allows none when the limit is set. Times are on the monotonic clock.
type rateLimiter struct {
	interval time.Duration // between two starts at the rate; zero without a limit
	// next is the time from which the next start would be on the rate.
	next time.Duration
}

// burstDuration bounds a burst: over any time t, at most t+burstDuration at the rate,
// and one more, is started.
const burstDuration = 500 * time.Millisecond

// setRate limits the starts to rate per second. Zero removes the limit.
func (l *rateLimiter) setRate(now time.Duration, rate float64) {
	if rate <= 0 {
		*l = rateLimiter{}
		return
	}
	if l.interval == 0 {
		l.next = now + burstDuration
	}
	l.interval = time.Duration(float64(time.Second) / rate)
}

// limited reports whether a limit is set.
func (l *rateLimiter) limited() bool { return l.interval > 0 }

// ready reports whether a request may start now.
func (l *rateLimiter) ready(now time.Duration) bool {
	return !l.limited() || now >= l.next-burstDuration
}

// started counts a start.
func (l *rateLimiter) started(now time.Duration) {
	if l.limited() {
		l.next = max(l.next, now) + l.interval
	}
}

// delay returns the time until a request with the given number of others ahead of it
// may start.
func (l *rateLimiter) delay(now time.Duration, ahead int) time.Duration {
	if !l.limited() {
		return 0
	}
	return max(max(l.next, now)+time.Duration(ahead)*l.interval-burstDuration-now, 0)
}

// rate returns the limit in starts per second, zero without one.
func (l *rateLimiter) rate() float64 {
	if !l.limited() {
		return 0
	}
	return float64(time.Second) / float64(l.interval)
}
