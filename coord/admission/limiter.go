// Package admission limits the concurrent requests of one target: a concurrency
// limit with a slow start of cold targets, a bounded queue in order of priority
// class and deadline, and early refusal of requests that cannot be served in
// time. The gate, which checks ownership and limits right before the target,
// has one Limiter for its target. The package is part of the mode with hashed
// shards; the mode with key ranges uses package dispatch.
//
// A Limiter is not safe for concurrent use. The slice that a method returns is
// valid until the next call of any method.
package admission

import (
	"math"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// noDeadline is the remaining time of a request without a deadline. In NextTick
// it means that no call is due.
const noDeadline time.Duration = math.MaxInt64

// Limiter decides which requests run at one target. Its methods do not block.
type Limiter struct {
	config      Config
	incarnation uint64
	ramp        ramp
	serviceTime serviceTime
	slowness    slowness
	running     running
	queue       queue
	lastAnswer  clock.Reading
	// targetStarted is when the limiter learned of the present incarnation.
	targetStarted clock.Reading
	actions       []Action

	coldRestarts, reductions int
}

// New returns the limiter of a cold target.
func New(c Config, now clock.Reading) *Limiter {
	l := &Limiter{config: c.withDefaults(), targetStarted: now}
	l.ramp.configure(&l.config)
	l.ramp.restart(now, false)
	return l
}

// Configure replaces the configuration. The ramp keeps the fraction that is
// complete; a limiter without a ramp counts as complete. Waiting requests that
// do not fit into a shorter queue are refused: browse requests first, and
// within a class those with the latest deadlines.
func (l *Limiter) Configure(now clock.Reading, c Config) []Action {
	l.begin(now)
	l.config = c.withDefaults()
	l.ramp.configure(&l.config)
	for l.queue.len() > l.config.QueueLength {
		r, ok := l.queue.byClass[Browse].popLast()
		if !ok {
			r, _ = l.queue.byClass[Payment].popLast()
		}
		l.refuse(&r, outcome.ReasonQueueFull, l.slotInterval(now), "the queue became shorter")
	}
	l.startWaiting(now)
	return l.actions
}

// TargetStarted sets the incarnation of the target. A new incarnation is cold:
// its ramp starts again and its service time is measured anew. Requests sent to
// the previous incarnation use slots until Done or Cancel.
func (l *Limiter) TargetStarted(now clock.Reading, incarnation uint64) []Action {
	l.begin(now)
	if incarnation != l.incarnation {
		l.incarnation, l.targetStarted = incarnation, now
		l.ramp.restart(now, false)
		l.serviceTime = serviceTime{}
		l.slowness.reset(now)
	}
	l.startWaiting(now)
	return l.actions
}

// Offer asks for a slot for r. The request starts, waits or is refused; if it
// displaces a waiting request, that one is refused. Offer returns no action for
// r if it waits.
func (l *Limiter) Offer(now clock.Reading, r Request) []Action {
	l.begin(now)
	if r.Class >= numClasses {
		r.Class = Browse
	}
	switch remaining := r.remaining(now); {
	case remaining <= 0:
		l.refuse(&r, outcome.ReasonDeadline, 0, "the deadline has passed")
	case l.queue.len() == 0 && l.running.len() < l.ramp.limit():
		l.startOrRefuse(now, &r)
	default:
		l.enqueue(now, r, remaining)
	}
	return l.actions
}

// Done records the end of a running request and starts waiting ones. For an
// unknown id nothing is recorded.
func (l *Limiter) Done(now clock.Reading, id uint64, s Sample) []Action {
	l.begin(now)
	if start, ok := l.running.remove(id); ok {
		if s.ServiceTime <= 0 {
			s.ServiceTime = now.MonoSince(start)
		}
		l.recordEnd(now, start, s)
	}
	l.startWaiting(now)
	return l.actions
}

// recordEnd updates the service time, the slowness and the ramp with the end of
// a request. A request that was sent to a previous incarnation is not counted.
func (l *Limiter) recordEnd(now, start clock.Reading, s Sample) {
	if start.Mono < l.targetStarted.Mono {
		return
	}
	if s.Failed {
		// A quick failure does not show that the target is fast.
		if l.isSlow(s.ServiceTime) {
			l.recordSlowness(now, start, s.ServiceTime)
		}
		return
	}
	l.lastAnswer = now
	slow := l.isSlow(s.ServiceTime)
	l.recordSlowness(now, start, s.ServiceTime)
	l.serviceTime.add(now, s.ServiceTime, l.config.BaselineTimeConstant)
	// After the limit was lowered for a slow target, slow answers do not advance
	// the ramp, and the others advance it at the speed of RecoveryDuration. After
	// an announced start all answers advance it: the baseline is measured anew and
	// is that of the cold target.
	speed := 1.0
	if l.ramp.suspected {
		if slow {
			speed = 0
		} else if l.config.RecoveryDuration > 0 {
			speed = float64(l.config.RampDuration) / float64(l.config.RecoveryDuration)
		}
	}
	// Twice the service time, so that a target whose answers take longer than
	// MaxIdleRampCredit still makes full progress.
	l.ramp.credit(now, max(l.config.MaxIdleRampCredit, 2*s.ServiceTime), speed)
}

// Cancel removes a waiting request, or ends a running one whose exchange with
// the target was aborted. A cancelled request that ran for long counts as slow:
// otherwise cancelling the slower request of a hedged pair would hide a slow
// target.
func (l *Limiter) Cancel(now clock.Reading, id uint64) []Action {
	l.begin(now)
	if start, ok := l.running.remove(id); ok {
		l.recordEnd(now, start, Sample{ServiceTime: now.MonoSince(start), Failed: true})
	} else {
		l.queue.remove(id)
	}
	l.startWaiting(now)
	return l.actions
}

// Tick refuses the waiting requests that can no longer meet their deadline and
// checks whether the target has stopped answering. NextTick returns when to
// call it.
func (l *Limiter) Tick(now clock.Reading) []Action {
	l.begin(now)
	l.refuseUnservable(now)
	l.startWaiting(now)
	return l.actions
}

// maxQueueCheckInterval is the longest time between two checks of a queue that
// is not empty. The time from which a request deep in the queue cannot meet its
// deadline depends on the service times of the requests before it, so it is not
// known in advance.
const maxQueueCheckInterval = 20 * time.Millisecond

// NextTick returns the time until Tick has to be called; zero means now. It
// returns false if no call is due before the next call of another method. Each
// call of another method may change the result.
func (l *Limiter) NextTick(now clock.Reading) (time.Duration, bool) {
	next := noDeadline
	if l.queue.len() > 0 {
		next = min(maxQueueCheckInterval, l.queue.untilNextDeadline(now)-l.serviceTime.fastest())
	}
	if l.running.len() > 0 && l.serviceTime.baseline > 0 {
		if since := l.withoutAnswerSince(); since.Mono >= l.slowness.limitChanged.Mono {
			next = min(next, l.stallTimeout()-now.MonoSince(since))
		}
	}
	return max(next, 0), next != noDeadline
}

// begin starts an event: it clears the returned actions of the last one and
// checks for a stall of the target.
func (l *Limiter) begin(now clock.Reading) {
	clear(l.actions)
	l.actions = l.actions[:0]
	l.checkStall(now)
}
