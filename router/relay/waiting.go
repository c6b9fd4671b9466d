package relay

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/router/timesource"
)

// tickInterval is the time between two looks at a queue in which requests
// wait.
const tickInterval = 20 * time.Millisecond

// waitingRoom runs the decisions of a dispatch.Queue for goroutines.
type waitingRoom struct {
	mu      sync.Mutex
	queue   *dispatch.Queue
	waiters map[uint64]chan dispatch.Action
	next    uint64
	ticking bool
}

func newWaitingRoom(slots int) *waitingRoom {
	return &waitingRoom{queue: dispatch.New(dispatch.DefaultConfig(slots)), waiters: map[uint64]chan dispatch.Action{}}
}

// enter waits for a slot. The caller of a started request calls leave.
func (w *waitingRoom) enter(ctx context.Context, j *job, cold coldness) (uint64, dispatch.Action) {
	w.mu.Lock()
	now := timesource.Now()
	w.queue.SetSlots(cold.slots)
	w.queue.SetColdStartRate(now, cold.until, cold.rate)
	w.next++
	id := w.next
	ch := make(chan dispatch.Action, 1)
	w.waiters[id] = ch
	w.carryOut(w.queue.Offer(now, dispatch.Request{
		ID: id, ServiceTimeGroup: j.route, Priority: j.rank, Arrived: timesource.FromTime(j.request.Received).Mono,
		Objective: timesource.FromTime(j.objective).Mono, Deadline: timesource.FromTime(j.deadline).Mono,
		NoWait: j.eager,
	}))
	w.tick()
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
			w.carryOut(w.queue.Done(now, id, false))
		}
	default:
		delete(w.waiters, id)
		w.carryOut(w.queue.Cancel(timesource.Now(), id))
	}
	return id, dispatch.Action{ID: id, Reason: reasonLeft}
}

// coldness is what the queue needs to know of the target.
type coldness struct {
	slots int
	until time.Duration
	rate  float64
}

// leave ends a started request.
func (w *waitingRoom) leave(id uint64, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carryOut(w.queue.Done(timesource.Now(), id, complete))
}

func (w *waitingRoom) carryOut(actions []dispatch.Action) {
	for _, a := range actions {
		if ch := w.waiters[a.ID]; ch != nil {
			delete(w.waiters, a.ID)
			ch <- a
		}
	}
}

// tick looks at the queue again as long as requests wait.
func (w *waitingRoom) tick() {
	if w.ticking || len(w.waiters) == 0 {
		return
	}
	w.ticking = true
	time.AfterFunc(tickInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ticking = false
		w.carryOut(w.queue.Tick(timesource.Now()))
		w.tick()
	})
}

func (w *waitingRoom) load() *balancer.GateLoad {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, waiting, limit := w.queue.Load()
	return &balancer.GateLoad{Running: running, Limit: limit, Queued: waiting}
}

// usage returns the busy share of the slots and the rate that the target could
// serve, per second.
func (w *waitingRoom) usage() (busy, capacity float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Utilization(timesource.Now())
}
