// Package dispatch decides when the requests of one target run: in which
// order, and which are refused at once because they cannot end in time. It
// answers the load of routes with different worth and service time on one
// target with few slots, hot or cold.
package dispatch

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// Config tunes a Queue.
type Config struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// QueueLength bounds the waiting requests.
	QueueLength int
	// MaxLateFraction is the part of the time between objective and deadline that a
	// request may be expected to need when it is queued. Zero refuses what
	// will miss its objective; one queues whatever may meet its deadline.
	MaxLateFraction float64
	// PriorityHeadStart is the head start of a more urgent rank in the queue.
	PriorityHeadStart time.Duration
}

// DefaultConfig suits targets with some ten slots.
func DefaultConfig(slots int) Config {
	return Config{Slots: slots, QueueLength: 8 * max(slots, 1), MaxLateFraction: 0.25, PriorityHeadStart: 100 * time.Millisecond}
}

// Request asks for a slot. Times are on the monotonic clock.
type Request struct {
	ID uint64
	// ServiceTimeGroup groups requests with similar service times, for instance a route.
	ServiceTimeGroup string
	Priority         int
	// Arrived is when the caller's request was read.
	Arrived time.Duration
	// Objective is the end of full worth, Deadline that of the caller's wait.
	Objective, Deadline time.Duration
	// NoWait requests start at once or are refused with the expected wait, so
	// that their caller can ask another target.
	NoWait bool
}

// Action is a decision about one request.
type Action struct {
	ID    uint64
	Start bool
	// Reason and RetryAfter are set for a refusal.
	Reason     string
	RetryAfter time.Duration
}

// Reasons of a refusal.
const (
	ReasonNoFreeSlot        = "no free slot"
	ReasonQueueFull         = "queue full"
	ReasonWouldMissDeadline = "cannot end in time"
	ReasonDeadlinePassed    = "deadline passed"
)

// Queue decides about one target. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	running map[uint64]started
	waiting []Request
	times   map[string]time.Duration // mean service time by class
	pace    pace
	usage   usage
	kinds   map[string]kind // by class
}

type started struct {
	class string
	at    time.Duration
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, running: map[uint64]started{}, times: map[string]time.Duration{}, kinds: map[string]kind{}}
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(n int) {
	if n > 0 && n != q.cfg.Slots {
		q.cfg.Slots, q.cfg.QueueLength = n, DefaultConfig(n).QueueLength
	}
}

// SetColdStartRate bounds the starts per second until a time. A rate of zero or a time
// in the past lifts the bound.
func (q *Queue) SetColdStartRate(now clock.Reading, until time.Duration, rate float64) {
	q.pace.set(now.Mono, until, rate)
}

// Offer asks for a slot. A request that neither starts nor is refused waits.
func (q *Queue) Offer(now clock.Reading, r Request) []Action {
	q.usage.pass(now.Mono, len(q.running), q.cfg.Slots)
	q.usage.arrived(q.serviceTime(r.ServiceTimeGroup), q.cfg.Slots)
	q.kinds[r.ServiceTimeGroup] = kind{rank: r.Priority, objective: r.length(), offered: now.Mono}
	q.waiting = append(q.waiting, r)
	actions := q.fill(now)
	at := slices.IndexFunc(q.waiting, func(w Request) bool { return w.ID == r.ID })
	if at < 0 {
		return actions
	}
	wait := q.expectedWait(now, r)
	share, caution := q.lateShare(), q.caution()
	if q.urgent(now, &r) {
		share, caution = 1, 1
	}
	late := r.Objective + time.Duration(share*float64(r.Deadline-r.Objective))
	switch {
	case r.NoWait:
		return append(actions, q.refuse(at, ReasonNoFreeSlot, wait))
	case len(q.waiting) > q.cfg.QueueLength:
		return append(actions, q.refuse(at, ReasonQueueFull, wait))
	case now.Mono+time.Duration(caution*float64(wait))+q.serviceTime(r.ServiceTimeGroup) > late:
		return append(actions, q.refuse(at, ReasonWouldMissDeadline, now.Mono+wait+q.serviceTime(r.ServiceTimeGroup)-late))
	}
	return actions
}

func (q *Queue) refuse(at int, reason string, after time.Duration) Action {
	r := q.waiting[at]
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return Action{ID: r.ID, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// minRetryAfter keeps callers from asking again before anything can change.
const minRetryAfter = 50 * time.Millisecond

// Done reports the end of a running request; complete says that its service
// time is meaningful.
func (q *Queue) Done(now clock.Reading, id uint64, complete bool) []Action {
	s, ok := q.running[id]
	if !ok {
		return q.Cancel(now, id)
	}
	q.usage.pass(now.Mono, len(q.running), q.cfg.Slots)
	delete(q.running, id)
	if complete {
		q.learn(s.class, now.Mono-s.at)
		q.usage.ended(now.Mono - s.at)
	}
	return q.fill(now)
}

// Cancel withdraws a waiting request.
func (q *Queue) Cancel(now clock.Reading, id uint64) []Action {
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.ID == id })
	return q.fill(now)
}

// Tick starts and refuses what time alone has made due.
func (q *Queue) Tick(now clock.Reading) []Action { return q.fill(now) }

// Load returns the running and waiting requests and the limit.
func (q *Queue) Load() (running, waiting, limit int) {
	return len(q.running), len(q.waiting), q.cfg.Slots
}

// Utilization returns the recent share of the slots that were busy and the requests
// per second that the target could serve; zero before the first answer.
func (q *Queue) Utilization(now clock.Reading) (busy, capacity float64) {
	q.usage.pass(now.Mono, len(q.running), q.cfg.Slots)
	if q.usage.mean > 0 {
		capacity = float64(q.cfg.Slots) / q.usage.mean.Seconds()
	}
	return q.usage.busy, capacity
}

// fill starts what fits and refuses what can no longer meet its deadline.
func (q *Queue) fill(now clock.Reading) []Action {
	var out []Action
	for i := 0; i < len(q.waiting); {
		r := q.waiting[i]
		if now.Mono+q.serviceTime(r.ServiceTimeGroup)/4 >= r.Deadline {
			out = append(out, q.refuse(i, ReasonDeadlinePassed, 0))
			continue
		}
		i++
	}
	for len(q.waiting) > 0 && len(q.running) < q.cfg.Slots && q.pace.take(now.Mono) {
		i := q.next(now)
		r := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.running[r.ID] = started{class: r.ServiceTimeGroup, at: now.Mono}
		out = append(out, Action{ID: r.ID, Start: true})
	}
	return out
}
