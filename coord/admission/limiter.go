// Package admission limits the concurrent requests of one target: a limit with
// a cold-start ramp, a bounded queue in order of class and deadline, and early
// refusal of requests that cannot be served in time.
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

const noDeadline time.Duration = math.MaxInt64

// Limiter decides which requests run at one target.
type Limiter struct {
	config      Config
	incarnation uint64
	ramp        ramp
	service     serviceTime
	slowness    slowness
	running     running
	queue       queue
	lastAnswer  clock.Reading
	// targetStarted is the start of the present incarnation as far as known.
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

// Configure puts a new configuration into force. The share of the ramp that is
// complete stays. Waiting requests beyond a shorter queue are refused.
func (l *Limiter) Configure(now clock.Reading, c Config) []Action {
	l.begin(now)
	l.config = c.withDefaults()
	l.ramp.configure(&l.config)
	for l.queue.len() > l.config.QueueLength {
		r, ok := l.queue.lanes[Browse].popLast()
		if !ok {
			r, _ = l.queue.lanes[Payment].popLast()
		}
		l.refuse(&r, outcome.ReasonQueueFull, l.pace(now), "the queue became shorter")
	}
	l.fill(now)
	return l.actions
}

// TargetStarted reports the incarnation of the target. A new one is cold: its
// ramp starts again and its service time is learned anew. Requests sent to the
// previous incarnation remain until Done or Cancel.
func (l *Limiter) TargetStarted(now clock.Reading, incarnation uint64) []Action {
	l.begin(now)
	if incarnation != l.incarnation {
		l.incarnation, l.targetStarted = incarnation, now
		l.ramp.restart(now, false)
		l.service = serviceTime{}
		l.slowness.reset(now)
	}
	l.fill(now)
	return l.actions
}

// Offer asks for a slot. The request starts, waits or is refused; a refusal may
// concern another, waiting request that the offered one displaces. Nothing is
// returned for the offered request while it waits.
func (l *Limiter) Offer(now clock.Reading, r Request) []Action {
	l.begin(now)
	if r.Class >= classes {
		r.Class = Browse
	}
	switch remaining := r.remaining(now); {
	case remaining <= 0:
		l.refuse(&r, outcome.ReasonDeadline, 0, "the deadline has passed")
	case l.queue.len() == 0 && l.running.len() < l.ramp.limit():
		l.start(now, &r)
	default:
		l.enqueue(now, r, remaining)
	}
	return l.actions
}

// Done reports the end of a running request. An unknown id has no effect.
func (l *Limiter) Done(now clock.Reading, id uint64, s Sample) []Action {
	l.begin(now)
	if start, ok := l.running.remove(id); ok {
		if s.ServiceTime <= 0 {
			s.ServiceTime = now.MonoSince(start)
		}
		l.ended(now, start, s)
	}
	l.fill(now)
	return l.actions
}

// ended takes the end of a request into account. A request that was sent to a
// previous incarnation says nothing about the present one.
func (l *Limiter) ended(now, start clock.Reading, s Sample) {
	if start.Mono < l.targetStarted.Mono {
		return
	}
	if s.Failed {
		// A quick failure does not show that the target is fast.
		if l.slow(s.ServiceTime) {
			l.judge(now, start, s.ServiceTime)
		}
		return
	}
	l.lastAnswer = now
	slow := l.slow(s.ServiceTime)
	l.judge(now, start, s.ServiceTime)
	l.service.add(now, s.ServiceTime, l.config.BaselineTimeConstant)
	speed := 1.0
	if l.ramp.suspected {
		if slow {
			speed = 0
		} else if l.config.RecoveryDuration > 0 {
			speed = float64(l.config.RampDuration) / float64(l.config.RecoveryDuration)
		}
	}
	l.ramp.credit(now, max(l.config.MaxIdleRampCredit, 2*s.ServiceTime), speed)
}

// Cancel withdraws a waiting request, or ends a running one whose exchange with
// the target was broken off. A cancelled request that ran for long counts as
// slow: otherwise cancelling the losers of hedges would hide a slow target.
func (l *Limiter) Cancel(now clock.Reading, id uint64) []Action {
	l.begin(now)
	if start, ok := l.running.remove(id); ok {
		l.ended(now, start, Sample{ServiceTime: now.MonoSince(start), Failed: true})
	} else {
		l.queue.remove(id)
	}
	l.fill(now)
	return l.actions
}

// Tick refuses the waiting requests that can no longer meet their deadline and
// checks whether the target has stopped answering.
func (l *Limiter) Tick(now clock.Reading) []Action {
	l.begin(now)
	l.sweep(now)
	l.fill(now)
	return l.actions
}

// queueCheck is the longest time between two checks of a queue. The time at
// which a request deep in the queue becomes hopeless depends on answers to come.
const queueCheck = 20 * time.Millisecond

// NextTick returns the time until Tick is useful; false means that no Tick is due
// before the next other event.
func (l *Limiter) NextTick(now clock.Reading) (time.Duration, bool) {
	next := noDeadline
	if l.queue.len() > 0 {
		next = min(queueCheck, l.queue.nearest(now)-l.service.fastest())
	}
	if l.running.len() > 0 && l.service.level > 0 {
		if since := l.silentSince(); since.Mono >= l.slowness.since.Mono {
			next = min(next, l.stallTime()-now.MonoSince(since))
		}
	}
	return max(next, 0), next != noDeadline
}

func (l *Limiter) begin(now clock.Reading) {
	clear(l.actions)
	l.actions = l.actions[:0]
	l.checkStall(now)
}
