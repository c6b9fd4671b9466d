package dispatch

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// latestEnd returns the time until which r may be expected to end and still be
// queued, and the factor, from 1 to 1+maxExtraWait, by which its expected wait is
// lengthened for that. The part of the time after the objective is MaxLateFraction
// while the target can catch up. It falls to zero as the target is offered more work
// than it can do: then each late answer makes another one late. The factor rises
// meanwhile: service times are skewed, and a wait that is right on average is too
// short for half of the requests.
//
// For urgent requests only the work counts that they do not start before, and the part
// is 1 while the target can do it.
func (q *Queue) latestEnd(now clock.Reading, r *Request) (latest time.Duration, waitFactor float64) {
	fraction, load, extraWait := q.cfg.MaxLateFraction, q.usage.offeredLoad, maxExtraWait
	if q.urgent(now, r) {
		fraction, load, extraWait = 1, q.loadBefore(now, r), urgentExtraWait
	}
	overload := min(max((load-lowOfferedLoad)/(highOfferedLoad-lowOfferedLoad), 0), 1)
	return r.Objective + time.Duration(fraction*(1-overload)*float64(r.Deadline-r.Objective)), 1 + extraWait*overload
}

// maxExtraWait and urgentExtraWait are the largest additions, as fractions of the
// expected wait. A refusal of an urgent request costs more than a late answer.
const maxExtraWait, urgentExtraWait = 1.0, 0.5

// lowOfferedLoad and highOfferedLoad are the bounds of overload, as multiples of what
// the target can do. The offered load includes the retries of refused callers, so it
// exceeds the load of new requests under overload.
const lowOfferedLoad, highOfferedLoad = 0.95, 1.4

// ExpectedWait estimates the time until a request that is not offered yet would start,
// zero if a slot is left for it.
func (q *Queue) ExpectedWait(now clock.Reading, r Request) time.Duration {
	return q.expectedWait(now, r, 1)
}

// expectedWait estimates the time until r starts. Slots become free at the rate
// at which the running requests end, and requests ahead of r take them first. The
// estimate is zero if a slot is left for r. At a target that is cold or limits its
// requests it is at least the delay until that limit allows the start, and for a long
// body at least the delay until it fits.
func (q *Queue) expectedWait(now clock.Reading, r Request, factor float64) time.Duration {
	ahead, bodiesAhead := newQueueAhead(), int64(0)
	top := q.topPriority(now, &r)
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.ID != r.ID && q.compare(now, w, &r) <= 0 {
			ahead.add(w, top, q.serviceTime(w.ServiceTimeGroup))
			bodiesAhead += q.bodyShare(w)
		}
	}
	delay := max(q.startLimiter.delay(now.Mono, ahead.requests), q.rateLimiter.delay(now.Mono, ahead.requests), q.bodyDelay(&r, bodiesAhead))
	return max(q.waitBehind(now, &r, top, &ahead, factor), time.Duration(factor*float64(delay)))
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
