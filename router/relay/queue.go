package relay

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/timesource"
)

// tickInterval is the time between two ticks of a queue in which requests wait.
const tickInterval = 20 * time.Millisecond

// blockingQueue lets goroutines wait for the decisions of a dispatch.Queue. Its
// methods may be called concurrently.
type blockingQueue struct {
	mu      sync.Mutex
	queue   *dispatch.Queue
	waiters map[uint64]chan dispatch.Action
	lastID  uint64
	ticking bool
	// target is the incarnation of the target that the queue's limit belongs to.
	target ranges.Holder
}

func newBlockingQueue(slots int) *blockingQueue {
	return &blockingQueue{queue: dispatch.New(dispatch.DefaultConfig(slots)), waiters: map[uint64]chan dispatch.Action{}}
}

// acquire blocks until the request may start, is refused, or ctx ends. If the
// returned action starts the request, release must be called with the id.
func (w *blockingQueue) acquire(ctx context.Context, req *routedRequest, limits targetLimits) (uint64, dispatch.Action) {
	w.mu.Lock()
	now := timesource.Now()
	if w.target != limits.target {
		w.target = limits.target
		w.queue.ClearLimit(now)
	}
	w.queue.AssumeLimit(now, limits.earlierLimit)
	w.queue.SetSlots(limits.slots)
	w.queue.SetColdStartRate(now, limits.coldUntil, limits.coldRate)
	w.lastID++
	id := w.lastID
	ch := make(chan dispatch.Action, 1)
	w.waiters[id] = ch
	w.deliver(w.queue.Offer(now, req.offer(id)))
	w.scheduleTick()
	w.mu.Unlock()
	select {
	case a := <-ch:
		return id, a
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case a := <-ch:
		if a.Start {
			w.deliver(w.queue.Done(now, id, false))
		}
	default:
		delete(w.waiters, id)
		w.deliver(w.queue.Cancel(timesource.Now(), id))
	}
	return id, dispatch.Action{ID: id, Reason: endReason(ctx)}
}

// offer returns the request as the queue gets it.
func (r *routedRequest) offer(id uint64) dispatch.Request {
	return dispatch.Request{
		ID: id, ServiceTimeGroup: r.route, Priority: r.priority, Arrived: timesource.FromTime(r.request.Received).Mono,
		Objective: timesource.FromTime(r.objective).Mono, Deadline: timesource.FromTime(r.deadline).Mono,
		NoWait: r.noWait, BodyBytes: r.bodyBytes(), TimeBack: r.timeBack(), Flow: r.flow(), Weight: r.weight,
	}
}

// targetLimits are the limits that the target's state sets for the queue.
type targetLimits struct {
	target ranges.Holder
	// earlierLimit is the limit in requests per second that the target named to an
	// earlier start of this process, or zero.
	earlierLimit float64
	slots        int
	coldUntil    time.Duration // on the monotonic clock of timesource
	coldRate     float64       // starts per second until coldUntil
}

// release frees the slot of a started request. complete says that the target
// answered it, limit is the limit in that answer.
func (w *blockingQueue) release(id uint64, complete bool, limit dispatch.Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := timesource.Now()
	w.queue.RecordLimit(now, id, limit)
	w.deliver(w.queue.Done(now, id, complete))
}

// deliver passes decisions to the requests that wait for them. The caller must
// hold mu.
func (w *blockingQueue) deliver(actions []dispatch.Action) {
	for _, a := range actions {
		if ch := w.waiters[a.ID]; ch != nil {
			delete(w.waiters, a.ID)
			ch <- a
		}
	}
}

// scheduleTick ticks the queue every tickInterval as long as requests wait. The
// caller must hold mu.
func (w *blockingQueue) scheduleTick() {
	if w.ticking || len(w.waiters) == 0 {
		return
	}
	w.ticking = true
	time.AfterFunc(tickInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ticking = false
		w.deliver(w.queue.Tick(timesource.Now()))
		w.scheduleTick()
	})
}

// expectedWait returns the time until a request like this one is expected to start, zero
// if it could start now.
func (w *blockingQueue) expectedWait(req *routedRequest) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.ExpectedWait(timesource.Now(), req.offer(0))
}

func (w *blockingQueue) load() *balancer.GateLoad {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, waiting, limit := w.queue.Load()
	return &balancer.GateLoad{Running: running, Limit: limit, Queued: waiting}
}

// bodyBytes returns the bytes of the bodies at the target.
func (w *blockingQueue) bodyBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.BodyBytes()
}

// limit returns the limit that the target named in its answers.
func (w *blockingQueue) limit() dispatch.Limit {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Limit()
}

// usage returns the load of the target.
func (w *blockingQueue) usage() fleetagent.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	utilization, capacity := w.queue.Utilization(timesource.Now())
	return fleetagent.Usage{Utilization: utilization, Capacity: capacity, Limit: w.queue.Limit(), Target: w.target}
}
