package gate

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/timesource"
)

// admitter runs the limiter: it lets callers wait for their slot.
type admitter struct {
	mu      sync.Mutex
	limiter *admission.Limiter
	waiting map[uint64]chan *outcome.Refusal
	next    uint64
	timer   *time.Timer
	ringing bool
}

func newAdmitter(cfg admission.Config) *admitter {
	a := &admitter{limiter: admission.New(cfg, timesource.Now()), waiting: map[uint64]chan *outcome.Refusal{}}
	a.timer = time.AfterFunc(time.Hour, a.tick)
	return a
}

// decisions holds channels for reuse; each is empty when it is put back.
var decisions = sync.Pool{New: func() any { return make(chan *outcome.Refusal, 1) }}

// acquire waits for a slot. The id must be given to release or abandon.
func (a *admitter) acquire(ctx context.Context, class admission.Class, deadline time.Time) (uint64, *outcome.Refusal) {
	decided := decisions.Get().(chan *outcome.Refusal)
	a.mu.Lock()
	a.next++
	id := a.next
	a.waiting[id] = decided
	now := timesource.Now()
	a.run(a.limiter.Offer(now, admission.Request{ID: id, Class: class, Deadline: timesource.FromTime(deadline)}))
	a.arm()
	a.mu.Unlock()
	refusal := a.wait(ctx, id, decided)
	decisions.Put(decided)
	return id, refusal
}

func (a *admitter) wait(ctx context.Context, id uint64, decided chan *outcome.Refusal) *outcome.Refusal {
	select {
	case refusal := <-decided:
		return refusal
	case <-ctx.Done():
	}
	a.mu.Lock()
	_, queued := a.waiting[id]
	if queued {
		delete(a.waiting, id)
		a.run(a.limiter.Cancel(timesource.Now(), id))
	}
	a.mu.Unlock()
	if !queued { // decided at the same moment
		return <-decided
	}
	return outcome.NewNotRun(outcome.ReasonDeadline, "the request ended while it was queued")
}

// release frees a slot and reports the target's service time.
func (a *admitter) release(id uint64, s admission.Sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.run(a.limiter.Done(timesource.Now(), id, s))
	a.arm()
}

// abandon frees the slot of a request that was not dispatched.
func (a *admitter) abandon(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.run(a.limiter.Cancel(timesource.Now(), id))
	a.arm()
}

func (a *admitter) configure(cfg admission.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.run(a.limiter.Configure(timesource.Now(), cfg))
	a.arm()
}

func (a *admitter) targetStarted(incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.run(a.limiter.TargetStarted(timesource.Now(), incarnation))
	a.arm()
}

// load returns what an answer tells its sender about the gate.
func (a *admitter) load() (running, limit, queued int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Load()
}

func (a *admitter) status() admission.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Status(timesource.Now())
}

func (a *admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ringing = false
	a.run(a.limiter.Tick(timesource.Now()))
	a.arm()
}

// arm sets the timer for the limiter's next event. The caller holds mu.
func (a *admitter) arm() {
	if a.ringing {
		return
	}
	if wait, ok := a.limiter.NextTick(timesource.Now()); ok {
		a.ringing = true
		a.timer.Reset(max(wait, time.Millisecond))
	}
}

// run delivers decisions. The caller holds mu.
func (a *admitter) run(actions []admission.Action) {
	for _, act := range actions {
		decided, ok := a.waiting[act.ID]
		if !ok {
			continue
		}
		delete(a.waiting, act.ID)
		if act.Kind == admission.Start {
			decided <- nil
		} else {
			decided <- act.Refusal
		}
	}
}
