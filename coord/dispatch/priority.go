package dispatch

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// reservedStarts is the fraction of the starts that lower priorities get while they
// wait, whatever the load of the most urgent one.
const reservedStarts = 0.1

// topPriority returns the most urgent priority that was recently offered, or that of r.
func (q *Queue) topPriority(now clock.Reading, r *Request) int {
	top := r.Priority
	for _, g := range q.groups {
		if now.Mono-g.lastOffer < groupRetention {
			top = min(top, g.priority)
		}
	}
	return top
}

// nextInOrder returns the index in waiting of the request to start next, or -1 if none
// waits. If lower priorities have got less than the
// reserved starts, it is one of them.
func (q *Queue) nextInOrder(now clock.Reading) int {
	best := q.next(now, 0, nil)
	if best < 0 {
		return -1
	}
	top := q.topPriority(now, &q.waiting[best])
	lower := best
	if q.waiting[best].Priority == top {
		lower = q.next(now, top+1, nil)
	}
	if lower < 0 {
		return best
	}
	q.reservedCredit = min(q.reservedCredit+reservedStarts, 1)
	if q.reservedCredit >= 1 {
		best = lower
	}
	if best == lower {
		q.reservedCredit = max(q.reservedCredit-1, -1)
	}
	return best
}

// precedingLoad returns the offered load of the other groups whose requests start before r
// whenever they arrive, without the reserved starts.
func (q *Queue) precedingLoad(now clock.Reading, r *Request) float64 {
	load := 0.0
	for name, g := range q.groups {
		if name != r.ServiceTimeGroup && takesPrecedence(g.priority, g.latencyObjective, r.Priority, r.latencyObjective()) {
			load += g.loadAt(now)
		}
	}
	return min(load, 1-reservedStarts)
}

// queueAhead is what starts before a request.
type queueAhead struct {
	requests int
	work     time.Duration
	// lowerWork is the part of work that is not of the most urgent priority.
	lowerWork time.Duration
	flow      map[string]time.Duration // work by flow
}

// add adds a waiting request.
func (a *queueAhead) add(r *Request, top int, serviceTime time.Duration) {
	a.requests++
	a.work += serviceTime
	if r.Priority > top {
		a.lowerWork += serviceTime
	}
	a.flow[r.Flow] += serviceTime
}

// remove removes a waiting request that was added.
func (a *queueAhead) remove(r *Request, top int, serviceTime time.Duration) {
	a.requests--
	a.work -= serviceTime
	if r.Priority > top {
		a.lowerWork -= serviceTime
	}
	a.flow[r.Flow] -= serviceTime
}

func newQueueAhead() queueAhead {
	return queueAhead{flow: map[string]time.Duration{}}
}

// giveWay returns the index of the request that gives way to a more urgent one behind
// it: the last one of the lowest priority. It returns -1 if at most one less urgent
// request is in order, which may get a reserved start.
func giveWay(order []*Request, urgent *Request) int {
	found, lower := -1, 0
	for i, r := range order {
		if r.Priority <= urgent.Priority {
			continue
		}
		lower++
		if found < 0 || r.Priority >= order[found].Priority {
			found = i
		}
	}
	if lower <= 1 {
		return -1
	}
	return found
}

// waitBehind returns the expected time until r gets a slot. More urgent requests that
// arrive meanwhile lengthen it, but not beyond the time that the reserved starts take.
// The factor lengthens what depends on the order of all requests.
func (q *Queue) waitBehind(now clock.Reading, r *Request, top int, a *queueAhead, factor float64) time.Duration {
	wait := q.slotWait(a.requests, a.work)
	if wait > 0 {
		wait = time.Duration(factor * float64(wait) / (1 - q.precedingLoad(now, r)))
	}
	if r.aboveShare > 0 {
		wait = max(wait, time.Duration(factor*float64(q.shareWait(now, r, a.flow[r.Flow]))))
	}
	if r.Priority > top {
		reserved := float64(a.lowerWork+q.serviceTime(r.ServiceTimeGroup)) / float64(max(q.cfg.Slots, 1)) / reservedStarts
		wait = min(wait, time.Duration(reserved))
	}
	return wait
}
