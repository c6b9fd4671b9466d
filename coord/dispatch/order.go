package dispatch

import (
	"cmp"
	"time"

	"bramleyquay.example/coord/clock"
)

// kind is what the queue knows of a class of requests.
type kind struct {
	rank      int
	objective time.Duration
	offered   time.Duration
}

// length is the time from the arrival to the objective.
func (r *Request) length() time.Duration { return r.Objective - r.Arrived }

// tightShare is the ratio of objectives from which a request is much shorter
// than another one, such as a call beside the requests of callers.
const tightShare = 2

// tighter reports whether a goes before b whatever their objectives' ends: it
// is at least as urgent and much shorter, so that b hardly waits longer.
func tighter(rank int, objective time.Duration, otherRank int, otherObjective time.Duration) bool {
	return rank <= otherRank && tightShare*objective <= otherObjective
}

// urgent reports whether less urgent or much longer requests use the target as
// well. Urgent ones go before them, so that overload is theirs only if they
// cause it alone, and refusing one, such as a call of another request, loses
// more.
func (q *Queue) urgent(now clock.Reading, r *Request) bool {
	for _, k := range q.kinds {
		less := k.rank > r.Priority || tighter(r.Priority, r.length(), k.rank, k.objective)
		if less && now.Mono-k.offered < kindMemory {
			return true
		}
	}
	return false
}

// kindMemory is the time for which a class counts as present.
const kindMemory = 2 * time.Second

// next returns the index of the request that starts next.
func (q *Queue) next(now clock.Reading) int {
	best := 0
	for i := 1; i < len(q.waiting); i++ {
		if q.compare(now, &q.waiting[i], &q.waiting[best]) < 0 {
			best = i
		}
	}
	return best
}

// compare orders much shorter requests before others, then those that can
// still meet their objective before those that cannot, then by objective with
// a head start for urgent ranks.
func (q *Queue) compare(now clock.Reading, a, b *Request) int {
	switch {
	case tighter(a.Priority, a.length(), b.Priority, b.length()):
		return -1
	case tighter(b.Priority, b.length(), a.Priority, a.length()):
		return 1
	}
	if c := cmp.Compare(q.missed(now, a), q.missed(now, b)); c != 0 {
		return c
	}
	return cmp.Compare(q.due(a), q.due(b))
}

func (q *Queue) missed(now clock.Reading, r *Request) int {
	if now.Mono+q.serviceTime(r.ServiceTimeGroup) > r.Objective {
		return 1
	}
	return 0
}

func (q *Queue) due(r *Request) time.Duration {
	return r.Objective + time.Duration(r.Priority)*q.cfg.PriorityHeadStart
}
