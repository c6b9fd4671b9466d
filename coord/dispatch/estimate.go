package dispatch

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// waitFactor returns the factor, from 1 to 1+maxExtraWait, by which the expected
// wait is lengthened under overload, when the queue stays full: service times are
// skewed, and a wait that is right on average is too short for half of the
// requests.
func (q *Queue) waitFactor() float64 {
	return 1 + maxExtraWait*min(max((q.usage.offeredLoad-lowOfferedLoad)/(highOfferedLoad-lowOfferedLoad), 0), 1)
}

// maxExtraWait is the largest addition, as a fraction of the expected wait.
const maxExtraWait = 1.0

// lateFraction returns MaxLateFraction while the target can catch up. It falls to
// zero as the target is offered more work than it can do: then each late answer
// makes another one late.
func (q *Queue) lateFraction() float64 {
	return q.cfg.MaxLateFraction * min(max((highOfferedLoad-q.usage.offeredLoad)/(highOfferedLoad-lowOfferedLoad), 0), 1)
}

// lowOfferedLoad and highOfferedLoad are the bounds, as multiples of what the target
// can do, between which lateFraction falls and waitFactor rises. The offered load
// includes the retries of refused callers, so it exceeds the load of new requests
// under overload.
const lowOfferedLoad, highOfferedLoad = 0.95, 1.4

// ExpectedWait estimates the time until a request that is not offered yet would start,
// zero if a slot is left for it.
func (q *Queue) ExpectedWait(now clock.Reading, r Request) time.Duration {
	return q.expectedWait(now, r)
}

// expectedWait estimates the time until r starts. Slots become free at the rate
// at which the running requests end, and requests ahead of r take them first. The
// estimate is zero if a slot is left for r. At a target that is cold or limits its
// requests it is at least the delay until that limit allows the start, and for a long
// body at least the delay until it fits.
func (q *Queue) expectedWait(now clock.Reading, r Request) time.Duration {
	var work time.Duration
	ahead, bodiesAhead := 0, int64(0)
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.ID != r.ID && q.compare(now, w, &r) <= 0 {
			work += q.serviceTime(w.ServiceTimeGroup)
			ahead++
			bodiesAhead += q.bodyShare(w)
		}
	}
	wait := time.Duration(0)
	if running := len(q.running); running > 0 && running+ahead >= q.cfg.Slots {
		var total time.Duration
		for _, started := range q.running {
			total += q.serviceTime(started.group)
		}
		wait = (total/time.Duration(running) + work) / time.Duration(running)
	}
	return max(wait, q.startLimiter.delay(now.Mono, ahead), q.rateLimiter.delay(now.Mono, ahead), q.bodyDelay(&r, bodiesAhead))
}

const (
	// defaultServiceTime is assumed for a group without complete answers yet.
	defaultServiceTime = 100 * time.Millisecond
	// serviceTimeWeight is the weight of the newest service time in the moving mean.
	serviceTimeWeight = 0.1
)

// serviceTime returns the expected service time of a group.
func (q *Queue) serviceTime(group string) time.Duration {
	if t, ok := q.serviceTimes[group]; ok {
		return t
	}
	return defaultServiceTime
}

func (q *Queue) recordServiceTime(group string, t time.Duration) {
	old, ok := q.serviceTimes[group]
	if !ok {
		old = t
	}
	q.serviceTimes[group] = old + time.Duration(serviceTimeWeight*float64(t-old))
}
