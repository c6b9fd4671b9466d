package dispatch

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// refuseLate refuses the waiting requests that are no longer expected to end in time,
// because others have come before them since or run longer than expected. They would
// wait until their deadlines otherwise. It also refuses less urgent requests that start
// before a more urgent one which cannot meet its objective otherwise.
func (q *Queue) refuseLate(now clock.Reading) []Action {
	if len(q.waiting) == 0 || len(q.running) < q.cfg.Slots {
		return nil
	}
	ordered := slices.Clone(q.waiting)
	slices.SortStableFunc(ordered, func(a, b Request) int { return q.compare(now, &a, &b) })
	var out []Action
	refuse := func(r *Request, reason string, after time.Duration) {
		index := slices.IndexFunc(q.waiting, func(w Request) bool { return w.ID == r.ID })
		out = append(out, q.refuse(index, reason, after))
	}
	ahead := newQueueAhead()
	var kept []*Request
	top := q.topPriority(now, &ordered[0])
	for i := range ordered {
		r := &ordered[i]
		serviceTime := q.serviceTime(r.ServiceTimeGroup)
		end := now.Mono + q.waitBehind(now, r, top, &ahead, 1) + serviceTime
		for end > r.Objective {
			k := giveWay(kept, r)
			if k < 0 {
				break
			}
			ahead.remove(kept[k], top, q.serviceTime(kept[k].ServiceTimeGroup))
			refuse(kept[k], ReasonGaveWay, end-r.Objective)
			kept = slices.Delete(kept, k, k+1)
			end = now.Mono + q.waitBehind(now, r, top, &ahead, 1) + serviceTime
		}
		if late := q.lateBy(now, r, end); late > 0 {
			refuse(r, q.lateReason(r), late)
			continue
		}
		ahead.add(r, top, serviceTime)
		kept = append(kept, r)
	}
	return out
}

// lateBy returns by how much a request that is expected to end at a time exceeds its
// latest end. It is not positive for one that may wait.
func (q *Queue) lateBy(now clock.Reading, r *Request, end time.Duration) time.Duration {
	if end <= r.Objective {
		return 0
	}
	latest, _ := q.latestEnd(now, r)
	return end - latest
}

// lateReason returns the reason for refusing a request that cannot end in time.
func (q *Queue) lateReason(r *Request) string {
	if r.aboveShare > 0 {
		return ReasonAboveShare
	}
	return ReasonWouldMissDeadline
}

// slotWait returns the expected time until a slot is free for a request that has the
// given number of others, and their work, ahead of it.
func (q *Queue) slotWait(ahead int, work time.Duration) time.Duration {
	running := len(q.running)
	if running == 0 || running+ahead < q.cfg.Slots {
		return 0
	}
	var total time.Duration
	for _, started := range q.running {
		total += q.serviceTime(started.group)
	}
	return (total/time.Duration(running) + work) / time.Duration(running)
}
