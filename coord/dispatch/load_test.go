package dispatch_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// load describes the traffic of one target.
type load struct {
	slots               int
	mean                time.Duration // service time, log-normal
	spread              float64
	objective, deadline time.Duration
	lateWorth           float64
	// pressure is the arriving work relative to the slots.
	pressure float64
	// retries is the number of times that a refused caller comes back.
	retries int
}

// outcome is what callers got.
type outcome struct{ asked, inTime, late, refused, expired int }

func (o outcome) worth(l load) float64 {
	return (float64(o.inTime) + l.lateWorth*float64(o.late)) / float64(o.asked)
}

func (o outcome) served() float64 { return float64(o.inTime+o.late) / float64(o.asked) }

// event is a change in virtual time: an arrival, an end or a tick.
type event struct {
	at   time.Duration
	call func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play runs a minute of traffic through a queue.
func play(l load, cfg dispatch.Config, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	q := dispatch.New(cfg)
	var out outcome
	var todo events
	var now time.Duration
	at := func(d time.Duration, f func()) { heap.Push(&todo, event{now + d, f}) }
	type caller struct {
		first, deadline time.Duration
		retries         int
	}
	callers := map[uint64]*caller{}
	var id uint64
	var offer func(*caller)
	var carryOut func([]dispatch.Action)
	carryOut = func(actions []dispatch.Action) {
		for _, a := range actions {
			c := callers[a.ID]
			if !a.Start {
				if left := c.deadline - now; c.retries > 0 && a.RetryAfter < left/3 {
					c.retries--
					at(a.RetryAfter, func() { offer(c) })
				} else if a.Reason == dispatch.ReasonDeadlinePassed {
					out.expired++
				} else {
					out.refused++
				}
				continue
			}
			sigma := l.spread
			d := time.Duration(float64(l.mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
			at(d, func() {
				switch {
				case now > c.deadline:
					out.expired++
				case now > c.first+l.objective:
					out.late++
				default:
					out.inTime++
				}
				carryOut(q.Done(clock.At(now), a.ID, true))
			})
		}
	}
	offer = func(c *caller) {
		id++
		callers[id] = c
		carryOut(q.Offer(clock.At(now), dispatch.Request{ID: id, ServiceTimeGroup: "a", Arrived: now, Objective: c.first + l.objective, Deadline: c.deadline}))
	}
	gap := float64(l.mean) / float64(l.slots) / l.pressure
	var arrive func()
	arrive = func() {
		out.asked++
		offer(&caller{first: now, deadline: now + l.deadline, retries: l.retries})
		at(time.Duration(rng.ExpFloat64()*gap), arrive)
	}
	var tick func()
	tick = func() {
		carryOut(q.Tick(clock.At(now)))
		at(20*time.Millisecond, tick)
	}
	at(0, arrive)
	at(0, tick)
	for now < time.Minute {
		e := heap.Pop(&todo).(event)
		now = e.at
		e.call()
	}
	return out
}

// loads are service times near the objective, as they arise where a run waits
// for calls of its own, and well below it.
var loads = map[string]load{
	"slow runs, calm":     {slots: 6, mean: 400 * ms, spread: 0.8, objective: 600 * ms, deadline: 1200 * ms, lateWorth: 0.5, pressure: 0.7, retries: 1},
	"slow runs, busy":     {slots: 6, mean: 400 * ms, spread: 0.8, objective: 600 * ms, deadline: 1200 * ms, lateWorth: 0.5, pressure: 1, retries: 1},
	"slow runs, overload": {slots: 6, mean: 400 * ms, spread: 0.8, objective: 600 * ms, deadline: 1200 * ms, lateWorth: 0.5, pressure: 1.6, retries: 1},
	"fast runs, busy":     {slots: 12, mean: 160 * ms, spread: 0.8, objective: 500 * ms, deadline: 1000 * ms, lateWorth: 0.3, pressure: 1, retries: 1},
	"fast runs, overload": {slots: 12, mean: 160 * ms, spread: 0.8, objective: 500 * ms, deadline: 1000 * ms, lateWorth: 0.3, pressure: 2, retries: 1},
}

// noise is the difference in worth that five minutes of traffic leave open.
const noise = 0.01

// Guards against a queue that refuses what it could serve, and against one
// that serves everything too late under overload: the queue must be worth as
// much as one that admits only what is expected to meet its objective, and
// serve more while the target can catch up.
func TestWorthUnderLoad(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			strict := dispatch.DefaultConfig(l.slots)
			strict.MaxLateFraction = 0
			base := playAll(l, strict)
			now := playAll(l, dispatch.DefaultConfig(l.slots))
			t.Logf("strict: worth %.3f served %.3f %+v", base.worth(l), base.served(), base)
			t.Logf("in use: worth %.3f served %.3f %+v", now.worth(l), now.served(), now)
			if now.worth(l) < base.worth(l)-noise {
				t.Errorf("worth %.3f is below %.3f", now.worth(l), base.worth(l))
			}
			if now.served() < base.served()-noise {
				t.Errorf("served %.3f is below %.3f", now.served(), base.served())
			}
		})
	}
}

func playAll(l load, cfg dispatch.Config) outcome {
	var sum outcome
	for seed := range uint64(5) {
		o := play(l, cfg, seed)
		sum.asked += o.asked
		sum.inTime += o.inTime
		sum.late += o.late
		sum.refused += o.refused
		sum.expired += o.expired
	}
	return sum
}
