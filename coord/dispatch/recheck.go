package dispatch

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// refuseLate refuses the waiting requests that are no longer expected to end in time,
// because others have come before them since or run longer than expected. They would
// wait until their deadlines otherwise.
func (q *Queue) refuseLate(now clock.Reading) []Action {
	if len(q.waiting) == 0 || len(q.running) < q.cfg.Slots {
		return nil
	}
	ordered := slices.Clone(q.waiting)
	slices.SortStableFunc(ordered, func(a, b Request) int { return q.compare(now, &a, &b) })
	var out []Action
	var work time.Duration
	for i := range ordered {
		r := &ordered[i]
		serviceTime := q.serviceTime(r.ServiceTimeGroup)
		wait := q.slotWait(work)
		end := now.Mono + wait + serviceTime
		if end <= r.Objective {
			work += serviceTime
			continue
		}
		latest, _ := q.latestEnd(now, r)
		if end <= latest {
			work += serviceTime
			continue
		}
		index := slices.IndexFunc(q.waiting, func(w Request) bool { return w.ID == r.ID })
		out = append(out, q.refuse(index, ReasonWouldMissDeadline, end-latest))
	}
	return out
}

// slotWait returns the expected time until a slot is free for a request that has the
// given work ahead of it, while all slots are in use.
func (q *Queue) slotWait(work time.Duration) time.Duration {
	running := len(q.running)
	if running == 0 {
		return 0
	}
	var total time.Duration
	for _, started := range q.running {
		total += q.serviceTime(started.group)
	}
	return (total/time.Duration(running) + work) / time.Duration(running)
}
