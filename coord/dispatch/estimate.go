package dispatch

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// caution lengthens the expected wait under overload, when the queue stays at
// its bound: service times are skewed, and a wait that is right on average is
// too short for half of the requests.
func (q *Queue) caution() float64 {
	return 1 + overloadCaution*min(max((q.usage.pressure-easyPressure)/(fullPressure-easyPressure), 0), 1)
}

// overloadCaution is the part of the expected wait that is added.
const overloadCaution = 1.0

// lateShare is MaxLateFraction while the target can catch up, and falls to zero as
// more work arrives than it can do: then every late answer makes another late.
func (q *Queue) lateShare() float64 {
	return q.cfg.MaxLateFraction * min(max((fullPressure-q.usage.pressure)/(fullPressure-easyPressure), 0), 1)
}

// easyPressure and fullPressure are the arriving work per slot between which
// late answers are given up. Refused callers come back once, which counts.
const easyPressure, fullPressure = 0.95, 1.4

// expectedWait estimates when a request would start. Slots become free at the
// rate at which the running requests end, and those ahead take them first.
func (q *Queue) expectedWait(now clock.Reading, r Request) time.Duration {
	var work time.Duration
	ahead := 0
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.ID != r.ID && q.compare(now, w, &r) <= 0 {
			work += q.serviceTime(w.ServiceTimeGroup)
			ahead++
		}
	}
	wait := time.Duration(0)
	if running := len(q.running); running > 0 && running+ahead >= q.cfg.Slots {
		var mean time.Duration
		for _, s := range q.running {
			mean += q.serviceTime(s.class)
		}
		wait = (mean/time.Duration(running) + work) / time.Duration(running)
	}
	return max(wait, q.pace.wait(now.Mono, ahead))
}

const (
	// firstServiceTime stands for a class without answers yet.
	firstServiceTime = 100 * time.Millisecond
	// learnShare is the weight of the newest service time.
	learnShare = 0.1
)

func (q *Queue) serviceTime(class string) time.Duration {
	if t, ok := q.times[class]; ok {
		return t
	}
	return firstServiceTime
}

func (q *Queue) learn(class string, t time.Duration) {
	old, ok := q.times[class]
	if !ok {
		old = t
	}
	q.times[class] = old + time.Duration(learnShare*float64(t-old))
}
