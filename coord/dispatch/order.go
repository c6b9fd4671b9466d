package dispatch

import (
	"cmp"
	"math"
	"time"

	"bramleyquay.example/coord/clock"
)

// serviceTimeGroup describes the last request that was offered of a service time
// group. With accounts the priorities of a group may differ; that of the last request
// counts for all (docs/design/priorities.md).
type serviceTimeGroup struct {
	priority         int
	latencyObjective time.Duration
	lastOffer        time.Duration
	// offeredLoad is the part of usage.offeredLoad at lastOffer.
	offeredLoad float64
}

// recordOffer updates the group of an offered request and returns the load that it adds.
func (q *Queue) recordOffer(now clock.Reading, r *Request) float64 {
	use := q.capacityUsed(q.serviceTime(r.ServiceTimeGroup))
	q.usage.requestArrived(use)
	load := float64(use) / float64(usageTimeConstant)
	g := q.groups[r.ServiceTimeGroup]
	q.groups[r.ServiceTimeGroup] = serviceTimeGroup{
		priority: r.Priority, latencyObjective: r.latencyObjective(), lastOffer: now.Mono,
		offeredLoad: g.loadAt(now) + load,
	}
	return load
}

// groupLoad returns the offered load without requests that were refused because they may
// not wait.
func (q *Queue) groupLoad(now clock.Reading) float64 {
	load := 0.0
	for _, g := range q.groups {
		load += g.loadAt(now)
	}
	return load
}

// loadAt returns the offered load of the group.
func (g serviceTimeGroup) loadAt(now clock.Reading) float64 {
	return g.offeredLoad * math.Exp(-float64(now.Mono-g.lastOffer)/float64(usageTimeConstant))
}

// lessUrgent reports whether r starts before the requests of a group.
func (g serviceTimeGroup) lessUrgent(r *Request) bool {
	return g.priority > r.Priority || takesPrecedence(r.Priority, r.latencyObjective(), g.priority, g.latencyObjective)
}

// loadBefore returns the offered load without the groups that r starts before.
func (q *Queue) loadBefore(now clock.Reading, r *Request) float64 {
	load := 0.0
	for _, g := range q.groups {
		if !g.lessUrgent(r) {
			load += g.loadAt(now)
		}
	}
	return load
}

// latencyObjective returns the time from the arrival to the objective.
func (r *Request) latencyObjective() time.Duration { return r.Objective - r.Arrived }

// shorterRatio is the ratio of two latency objectives from which one counts as
// much shorter, such as that of a call between services compared with those of
// callers' requests.
const shorterRatio = 2

// takesPrecedence reports whether a request starts before another one regardless
// of when their objectives end: its priority is at least as high and its latency
// objective is much shorter, so that the other one hardly waits longer.
func takesPrecedence(priority int, objective time.Duration, otherPriority int, otherObjective time.Duration) bool {
	return priority <= otherPriority && shorterRatio*objective <= otherObjective
}

// urgent reports whether the target was recently offered requests of a lower
// priority, or with a much longer objective, that r starts before. Urgent
// requests wait long only if they overload the target on their own, and refusing
// one costs more: it may be a call on behalf of another request, which then
// fails as well.
func (q *Queue) urgent(now clock.Reading, r *Request) bool {
	for _, g := range q.groups {
		if g.lessUrgent(r) && now.Mono-g.lastOffer < groupRetention {
			return true
		}
	}
	return false
}

// groupRetention is the time after its last offer for which urgent considers a
// group.
const groupRetention = 2 * time.Second

// next returns the index in waiting of the first eligible request in order whose priority
// is minPriority or lower, or -1 if there is none. Without eligible, all are.
func (q *Queue) next(now clock.Reading, minPriority int, eligible func(*Request) bool) int {
	best := -1
	for i := range q.waiting {
		if q.waiting[i].Priority < minPriority || eligible != nil && !eligible(&q.waiting[i]) {
			continue
		}
		if best < 0 || q.compare(now, &q.waiting[i], &q.waiting[best]) < 0 {
			best = i
		}
	}
	return best
}

// compare returns a negative number if a starts before b. Requests that take
// precedence come first, then those that can still meet their objective, then those
// of flows that are less far above their share, then those with the earlier objective,
// with a head start for higher priorities.
func (q *Queue) compare(now clock.Reading, a, b *Request) int {
	switch {
	case takesPrecedence(a.Priority, a.latencyObjective(), b.Priority, b.latencyObjective()):
		return -1
	case takesPrecedence(b.Priority, b.latencyObjective(), a.Priority, a.latencyObjective()):
		return 1
	}
	if c := cmp.Compare(q.missesObjective(now, a), q.missesObjective(now, b)); c != 0 {
		return c
	}
	if c := compareShares(a, b); c != 0 {
		return c
	}
	return cmp.Compare(q.adjustedObjective(a), q.adjustedObjective(b))
}

// missesObjective returns 1 if a request that starts now is expected to end after
// its objective, and 0 otherwise.
func (q *Queue) missesObjective(now clock.Reading, r *Request) int {
	if now.Mono+q.serviceTime(r.ServiceTimeGroup) > r.Objective {
		return 1
	}
	return 0
}

// adjustedObjective returns the objective, later for lower priorities.
func (q *Queue) adjustedObjective(r *Request) time.Duration {
	return r.Objective + time.Duration(r.Priority)*q.cfg.PriorityHeadStart
}
