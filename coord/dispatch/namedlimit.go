package dispatch

import (
	"math"
	"time"

	"bramleyquay.example/coord/clock"
)

// Limit is what an answer says about the number of requests per second that its
// target takes from all processes together.
type Limit struct {
	// Known is set if the answer says whether there is a limit.
	Known bool
	// Rate is the limit in requests per second, zero without one.
	Rate float64
}

// RecordLimit applies the limit in the answer to a running request. It must be called
// before Done for that request. The limit stays in force until the answer to a request
// that started after the last answer with a limit has none: an earlier one may have
// been written before the target named it.
func (q *Queue) RecordLimit(now clock.Reading, id uint64, limit Limit) {
	r, running := q.running[id]
	if !running || !limit.Known {
		return
	}
	q.limitKnown = true
	switch {
	case limit.Rate > 0:
		q.limitNamed = now.Mono
		q.rateLimiter.setRate(now.Mono, limit.Rate)
	case r.start >= q.limitNamed:
		q.rateLimiter.setRate(now.Mono, 0)
	}
}

// AssumeLimit applies a limit that the target named to somebody else, until its first
// answer.
func (q *Queue) AssumeLimit(now clock.Reading, rate float64) {
	if !q.limitKnown {
		q.rateLimiter.setRate(now.Mono, rate)
	}
}

// ClearLimit removes the limit, because the target is another incarnation.
func (q *Queue) ClearLimit(now clock.Reading) {
	q.limitKnown = false
	q.rateLimiter.setRate(now.Mono, 0)
}

// Limit returns the limit in force, with a rate of zero without one. It is not known
// before the target's first answer.
func (q *Queue) Limit() Limit { return Limit{Known: q.limitKnown, Rate: q.rateLimiter.rate()} }

// usableSlots returns the number of slots that can be in use on average under the
// limit, at least one.
func (q *Queue) usableSlots() int {
	if !q.rateLimiter.limited() || q.usage.meanServiceTime == 0 {
		return q.cfg.Slots
	}
	inUse := q.rateLimiter.rate() * q.usage.meanServiceTime.Seconds()
	return max(min(int(math.Ceil(inUse)), q.cfg.Slots), 1)
}

// capacityUsed returns the time in which the target could serve one request like this:
// the service time divided by the slots, or the interval of the limit if that is longer.
func (q *Queue) capacityUsed(serviceTime time.Duration) time.Duration {
	return max(serviceTime/time.Duration(max(q.cfg.Slots, 1)), q.rateLimiter.interval)
}
