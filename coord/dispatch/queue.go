// Package dispatch queues the requests to one target: it limits those that run
// at once, decides the order in which they start, and refuses early what is not
// expected to end in time. It is made for targets with few slots, warm or cold,
// that serve routes of different priorities and service times.
//
// The gate of the fleet mode, which checks ownership and limits right before its
// target, has one Queue. Package admission is the counterpart in the mode with
// hashed shards.
package dispatch

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// Config configures a Queue.
type Config struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// QueueLength is the largest number of waiting requests.
	QueueLength int
	// MaxLateFraction is the fraction of the time from objective to deadline by
	// which a request may be expected to miss its objective and still be queued.
	// With 0, every request that is expected to miss its objective is refused; with
	// 1, every request that is expected to meet its deadline is queued. Overload
	// lowers the fraction.
	MaxLateFraction float64
	// PriorityHeadStart is the head start in the queue for each level of priority.
	PriorityHeadStart time.Duration
	// BodyBytes bounds the bytes of the bodies at the target, each from the start of its
	// request until its end. At least one body starts, however long it is, and bodies of
	// at most SmallBodyBytes do not count. Zero sets no bound. A lower value protects
	// targets with little memory and lets fewer uploads run at once.
	BodyBytes int64
}

// DefaultConfig returns the default configuration for a target with the given
// number of slots. It suits targets with about ten slots.
func DefaultConfig(slots int) Config {
	return Config{Slots: slots, QueueLength: 8 * max(slots, 1), MaxLateFraction: 0.25, PriorityHeadStart: 100 * time.Millisecond, BodyBytes: DefaultBodyBytes}
}

// Request asks for a slot. Times are on the monotonic clock.
type Request struct {
	// ID identifies the request in the queue.
	ID uint64
	// ServiceTimeGroup groups requests with similar service times, for instance a route.
	ServiceTimeGroup string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Arrived is the time at which this process read the request. Objective minus
	// Arrived counts as its latency objective.
	Arrived time.Duration
	// Objective is the end of the latency objective, Deadline the time at which
	// the caller stops waiting.
	Objective, Deadline time.Duration
	// NoWait requests start at once or are refused with the expected wait, so
	// that the sender can try another target. They do not overtake waiting requests
	// that come before them in the order of the queue.
	NoWait bool
	// BodyBytes is the length of the body, or UnknownBodyBytes.
	BodyBytes int64
	// TimeBack is the time before the deadline at which a waiting request is refused at
	// the latest, so that the refusal reaches the caller in time.
	TimeBack time.Duration
	// Flow names the caller. Under overload the flows of a priority get shares of the
	// service time in proportion to Weight, where zero means 1.
	Flow   string
	Weight float64
	// aboveShare is by how many service times the request is above the share of its flow.
	aboveShare int
}

// Action is a decision about one request: it starts, or it is refused.
type Action struct {
	ID    uint64
	Start bool
	// Reason and RetryAfter are set for a refused request. RetryAfter is the time
	// after which a retry may be accepted.
	Reason     string
	RetryAfter time.Duration
}

// Reasons of a refusal. They are part of the answer to the caller.
const (
	ReasonNoFreeSlot = "no free slot"
	ReasonQueueFull  = "queue full"
	// ReasonWouldMissDeadline means that the request is expected to end later than
	// MaxLateFraction, or overload, allows.
	ReasonWouldMissDeadline = "cannot end in time"
	ReasonDeadlinePassed    = "deadline passed"
	// ReasonGaveWay means that a more urgent request could not meet its objective
	// otherwise.
	ReasonGaveWay = "gave way to a more urgent request"
	// ReasonAboveShare means that the caller asks for more than its share, and others
	// for theirs.
	ReasonAboveShare = "caller is above its share"
)

// Queue schedules the requests to one target. The caller carries out the actions
// that its methods return. It is not safe for concurrent use, and no method blocks.
type Queue struct {
	cfg          Config
	running      map[uint64]runningRequest
	waiting      []Request
	serviceTimes map[string]time.Duration // moving mean by group
	startLimiter startLimiter
	rateLimiter  rateLimiter
	limitNamed   time.Duration // the last time at which an answer named a limit
	limitKnown   bool          // by an answer
	usage        usage
	groups       map[string]serviceTimeGroup // by name
	bodyBytes    int64                       // of the bodies at the target
	// reservedCredit is the part of a start that is reserved for lower priorities.
	reservedCredit float64
	shares         map[int]*fairShares // by priority
}

type runningRequest struct {
	group string
	start time.Duration
	body  int64 // bytes that count in Config.BodyBytes
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, running: map[uint64]runningRequest{}, serviceTimes: map[string]time.Duration{}, groups: map[string]serviceTimeGroup{}, shares: map[int]*fairShares{}}
}

// SetSlots changes the number of slots, and the queue length to its default for
// that number. Numbers below 1 are ignored.
func (q *Queue) SetSlots(n int) {
	if n > 0 && n != q.cfg.Slots {
		q.cfg.Slots, q.cfg.QueueLength = n, DefaultConfig(n).QueueLength
	}
}

// SetColdStartRate limits the starts per second until a time on the monotonic
// clock. A rate of zero or a time in the past removes the limit.
func (q *Queue) SetColdStartRate(now clock.Reading, until time.Duration, rate float64) {
	q.startLimiter.setRate(now.Mono, until, rate)
}

// Offer asks for a slot for r. If the actions neither start nor refuse r, it
// waits. The actions may concern other requests as well.
func (q *Queue) Offer(now clock.Reading, r Request) []Action {
	q.usage.advance(now.Mono, len(q.running), q.cfg.Slots)
	load := q.recordOffer(now, &r)
	q.waiting = append(q.waiting, r)
	q.updateShares(now)
	actions := q.schedule(now)
	if r.NoWait {
		return q.refuseNoWait(now, r, load, actions)
	}
	if slices.ContainsFunc(q.waiting, func(w Request) bool { return w.Priority > r.Priority }) {
		actions = append(actions, q.refuseLate(now)...)
	}
	index := slices.IndexFunc(q.waiting, func(w Request) bool { return w.ID == r.ID })
	if index < 0 {
		return actions
	}
	r = q.waiting[index]
	latestEnd, waitFactor := q.latestEnd(now, &r)
	wait := q.expectedWait(now, r, 1)
	switch {
	case len(q.waiting) > q.cfg.QueueLength:
		index, reason := q.displaced(now, index)
		return append(actions, q.refuse(index, reason, wait))
	case now.Mono+q.expectedWait(now, r, waitFactor)+q.serviceTime(r.ServiceTimeGroup) > latestEnd:
		return append(actions, q.refuse(index, q.lateReason(&r), now.Mono+wait+q.serviceTime(r.ServiceTimeGroup)-latestEnd))
	}
	return actions
}

// refuseNoWait refuses a request that may not wait, if it has not started, and counts it
// no longer as load of its group: it is offered to other targets. It displaces nothing.
func (q *Queue) refuseNoWait(now clock.Reading, r Request, load float64, actions []Action) []Action {
	index := slices.IndexFunc(q.waiting, func(w Request) bool { return w.ID == r.ID })
	if index < 0 {
		return actions
	}
	g := q.groups[r.ServiceTimeGroup]
	g.offeredLoad -= load
	q.groups[r.ServiceTimeGroup] = g
	return append(actions, q.refuse(index, ReasonNoFreeSlot, q.expectedWait(now, q.waiting[index], 1)))
}

// refuse removes the waiting request at an index and returns its refusal.
func (q *Queue) refuse(index int, reason string, after time.Duration) Action {
	r := q.waiting[index]
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return Action{ID: r.ID, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// minRetryAfter prevents retries before the load of the target can have changed.
const minRetryAfter = 50 * time.Millisecond

// Done reports the end of a running request and returns the actions that follow.
// complete says that its service time counts in the estimates. A request that
// is still waiting is cancelled.
func (q *Queue) Done(now clock.Reading, id uint64, complete bool) []Action {
	r, ok := q.running[id]
	if !ok {
		return q.Cancel(now, id)
	}
	q.usage.advance(now.Mono, len(q.running), q.cfg.Slots)
	delete(q.running, id)
	q.bodyBytes -= r.body
	if complete {
		q.recordServiceTime(r.group, now.Mono-r.start)
		q.usage.requestEnded(now.Mono - r.start)
	}
	return q.schedule(now)
}

// Cancel removes a waiting request and returns the actions that follow.
func (q *Queue) Cancel(now clock.Reading, id uint64) []Action {
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.ID == id })
	return q.schedule(now)
}

// Tick returns the actions that have become due with time. While requests wait it
// must be called regularly, such as every 20 ms: deadlines and the limit of starts
// are checked only when a method is called.
func (q *Queue) Tick(now clock.Reading) []Action {
	return append(q.schedule(now), q.refuseLate(now)...)
}

// Load returns the numbers of running and waiting requests and of slots that can be
// in use: fewer than the target has if it limits its requests.
func (q *Queue) Load() (running, waiting, limit int) {
	return len(q.running), len(q.waiting), q.usableSlots()
}

// Utilization returns the recent fraction of the target's capacity in use, and the
// requests per second that the target could serve, zero before the first answer.
func (q *Queue) Utilization(now clock.Reading) (utilization, capacity float64) {
	q.usage.advance(now.Mono, len(q.running), q.cfg.Slots)
	utilization = q.usage.utilization
	if q.usage.meanServiceTime > 0 {
		capacity = float64(q.cfg.Slots) / q.usage.meanServiceTime.Seconds()
	}
	if limit := q.rateLimiter.rate(); limit > 0 && (capacity == 0 || limit < capacity) {
		return max(utilization, min(q.usage.offeredLoad, 1)), limit
	}
	return utilization, capacity
}

// schedule refuses the waiting requests for which at most their TimeBack or a quarter of
// the expected service time is left until the deadline, and starts others while slots and the
// limit of starts allow it.
func (q *Queue) schedule(now clock.Reading) []Action {
	var out []Action
	for i := 0; i < len(q.waiting); {
		r := q.waiting[i]
		if now.Mono+max(q.serviceTime(r.ServiceTimeGroup)/4, r.TimeBack) >= r.Deadline {
			out = append(out, q.refuse(i, ReasonDeadlinePassed, 0))
			continue
		}
		i++
	}
	for len(q.running) < q.cfg.Slots && q.rateLimiter.ready(now.Mono) {
		i := q.nextFitting(now)
		if i < 0 || !q.startLimiter.allow(now.Mono) {
			break
		}
		q.rateLimiter.started(now.Mono)
		r := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.countStart(now, &r)
		q.updateShares(now)
		q.running[r.ID] = runningRequest{group: r.ServiceTimeGroup, start: now.Mono, body: q.bodyShare(&r)}
		q.bodyBytes += q.bodyShare(&r)
		out = append(out, Action{ID: r.ID, Start: true})
	}
	return out
}
