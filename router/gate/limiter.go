package gate

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/timesource"
)

// blockingLimiter lets goroutines wait for the decisions of an admission.Limiter
// and drives the limiter's timer. Its methods may be called concurrently.
type blockingLimiter struct {
	mu      sync.Mutex
	limiter *admission.Limiter
	waiting map[uint64]chan *outcome.Refusal
	lastID  uint64
	timer   *time.Timer
	armed   bool
}

func newBlockingLimiter(cfg admission.Config) *blockingLimiter {
	l := &blockingLimiter{limiter: admission.New(cfg, timesource.Now()), waiting: map[uint64]chan *outcome.Refusal{}}
	l.timer = time.AfterFunc(time.Hour, l.tick) // arm resets it to the next event
	return l
}

// decisionChannels holds channels for reuse. A channel is empty when it is put
// back.
var decisionChannels = sync.Pool{New: func() any { return make(chan *outcome.Refusal, 1) }}

// acquire blocks until the request gets a slot, is refused, or ctx ends. If it
// returns no refusal, the id must be passed to release or abandon.
func (l *blockingLimiter) acquire(ctx context.Context, class admission.Class, deadline time.Time) (uint64, *outcome.Refusal) {
	decided := decisionChannels.Get().(chan *outcome.Refusal)
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	l.waiting[id] = decided
	now := timesource.Now()
	l.deliver(l.limiter.Offer(now, admission.Request{ID: id, Class: class, Deadline: timesource.FromTime(deadline)}))
	l.arm()
	l.mu.Unlock()
	refusal := l.wait(ctx, id, decided)
	decisionChannels.Put(decided)
	return id, refusal
}

func (l *blockingLimiter) wait(ctx context.Context, id uint64, decided chan *outcome.Refusal) *outcome.Refusal {
	select {
	case refusal := <-decided:
		return refusal
	case <-ctx.Done():
	}
	l.mu.Lock()
	_, queued := l.waiting[id]
	if queued {
		delete(l.waiting, id)
		l.deliver(l.limiter.Cancel(timesource.Now(), id))
	}
	l.mu.Unlock()
	if !queued { // the limiter decided at the same moment
		return <-decided
	}
	return outcome.NewNotRun(outcome.ReasonDeadline, "the request ended while it was queued")
}

// release frees the slot of a dispatched request and reports the target's service
// time to the limiter.
func (l *blockingLimiter) release(id uint64, s admission.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.limiter.Done(timesource.Now(), id, s))
	l.arm()
}

// abandon frees the slot of a request that was not dispatched.
func (l *blockingLimiter) abandon(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.limiter.Cancel(timesource.Now(), id))
	l.arm()
}

func (l *blockingLimiter) configure(cfg admission.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.limiter.Configure(timesource.Now(), cfg))
	l.arm()
}

func (l *blockingLimiter) targetStarted(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.limiter.TargetStarted(timesource.Now(), incarnation))
	l.arm()
}

// load returns the number of running requests, the limit and the queue length.
func (l *blockingLimiter) load() (running, limit, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Load()
}

func (l *blockingLimiter) status() admission.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Status(timesource.Now())
}

func (l *blockingLimiter) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = false
	l.deliver(l.limiter.Tick(timesource.Now()))
	l.arm()
}

// arm sets the timer for the limiter's next event, unless it is set already: a
// timer that is set is not moved forward. The caller must hold mu.
func (l *blockingLimiter) arm() {
	if l.armed {
		return
	}
	if wait, ok := l.limiter.NextTick(timesource.Now()); ok {
		l.armed = true
		l.timer.Reset(max(wait, time.Millisecond))
	}
}

// deliver passes decisions to the requests that wait for them. The caller must
// hold mu.
func (l *blockingLimiter) deliver(actions []admission.Action) {
	for _, act := range actions {
		decided, ok := l.waiting[act.ID]
		if !ok {
			continue
		}
		delete(l.waiting, act.ID)
		if act.Kind == admission.Start {
			decided <- nil
		} else {
			decided <- act.Refusal
		}
	}
}
