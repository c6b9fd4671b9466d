package dispatch

import "time"

// startLimiter limits the rate of starts at a cold target. It spaces them evenly,
// because a burst within a second overloads such a target. Times are on the
// monotonic clock.
type startLimiter struct {
	until     time.Duration
	interval  time.Duration
	lastStart time.Duration
	started   bool
}

// setRate limits the starts to rate per second until a time. A rate of zero or a
// time in the past removes the limit.
func (l *startLimiter) setRate(now, until time.Duration, rate float64) {
	if rate <= 0 || until <= now {
		l.until, l.interval = 0, 0
		return
	}
	l.until, l.interval = until, time.Duration(float64(time.Second)/rate)
}

func (l *startLimiter) active(now time.Duration) bool { return l.interval > 0 && now < l.until }

// allow reports whether a request may start now. If so, it counts as started.
func (l *startLimiter) allow(now time.Duration) bool {
	if l.active(now) && l.started && now-l.lastStart < l.interval {
		return false
	}
	l.lastStart, l.started = now, true
	return true
}

// delay returns the time until a request with the given number of others ahead of
// it may start.
func (l *startLimiter) delay(now time.Duration, ahead int) time.Duration {
	if !l.active(now) || !l.started {
		return 0
	}
	delay := l.lastStart + time.Duration(ahead+1)*l.interval - now
	return max(min(delay, l.until-now), 0)
}
