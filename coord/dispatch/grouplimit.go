package dispatch

import "time"

// SetGroupLimit bounds the requests of a service time group that run at the same time.
// Zero removes the bound.
func (q *Queue) SetGroupLimit(group string, n int) {
	if n <= 0 {
		delete(q.groupLimits, group)
		return
	}
	q.groupLimits[group] = n
}

// groupFull reports whether no further request of a group may start.
func (q *Queue) groupFull(group string) bool {
	limit, limited := q.groupLimits[group]
	return limited && q.runningOf(group) >= limit
}

// runningOf returns the number of running requests of a group.
func (q *Queue) runningOf(group string) int {
	n := 0
	for _, r := range q.running {
		if r.group == group {
			n++
		}
	}
	return n
}

// groupWait returns the expected time until the bound of its group allows a request to
// start that has the given number of others of the group ahead of it.
func (q *Queue) groupWait(group string, ahead int) time.Duration {
	limit, limited := q.groupLimits[group]
	if !limited || q.runningOf(group)+ahead < limit {
		return 0
	}
	return q.serviceTime(group) * time.Duration(ahead+1) / time.Duration(limit)
}
