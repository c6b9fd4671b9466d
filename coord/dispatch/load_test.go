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

// workload describes the requests to one target.
type workload struct {
	slots               int
	meanServiceTime     time.Duration // log-normal, with parameter sigma
	sigma               float64
	objective, deadline time.Duration
	// lateValue is the value of an answer after its latency objective; one within
	// it has the value 1.
	lateValue float64
	// offeredLoad is the arriving work relative to the slots, without retries.
	offeredLoad float64
	// retries is the number of times that a refused caller tries again.
	retries int
}

// results counts the requests of callers by their end.
type results struct{ requests, inTime, late, refused, expired int }

// meanValue returns the mean value of an answer to the callers.
func (r results) meanValue(w workload) float64 {
	return (float64(r.inTime) + w.lateValue*float64(r.late)) / float64(r.requests)
}

func (r results) served() float64 { return float64(r.inTime+r.late) / float64(r.requests) }

// event is an arrival, the end of a request or a tick in virtual time.
type event struct {
	at  time.Duration
	run func()
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

// simulate sends a minute of requests through a queue in virtual time.
func simulate(w workload, cfg dispatch.Config, seed uint64) results {
	rng := rand.New(rand.NewPCG(seed, 1))
	q := dispatch.New(cfg)
	var out results
	var pending events
	var now time.Duration
	after := func(d time.Duration, f func()) { heap.Push(&pending, event{now + d, f}) }
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
				// A caller tries again if the suggested wait is less than a third of
				// its remaining time.
				if left := c.deadline - now; c.retries > 0 && a.RetryAfter < left/3 {
					c.retries--
					after(a.RetryAfter, func() { offer(c) })
				} else if a.Reason == dispatch.ReasonDeadlinePassed {
					out.expired++
				} else {
					out.refused++
				}
				continue
			}
			sigma := w.sigma
			d := time.Duration(float64(w.meanServiceTime) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
			after(d, func() {
				switch {
				case now > c.deadline:
					out.expired++
				case now > c.first+w.objective:
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
		carryOut(q.Offer(clock.At(now), dispatch.Request{ID: id, ServiceTimeGroup: "a", Arrived: now, Objective: c.first + w.objective, Deadline: c.deadline}))
	}
	meanInterval := float64(w.meanServiceTime) / float64(w.slots) / w.offeredLoad
	var arrive func()
	arrive = func() {
		out.requests++
		offer(&caller{first: now, deadline: now + w.deadline, retries: w.retries})
		after(time.Duration(rng.ExpFloat64()*meanInterval), arrive)
	}
	var tick func()
	tick = func() {
		carryOut(q.Tick(clock.At(now)))
		after(20*time.Millisecond, tick)
	}
	after(0, arrive)
	after(0, tick)
	for now < time.Minute {
		e := heap.Pop(&pending).(event)
		now = e.at
		e.run()
	}
	return out
}

// workloads have service times near the latency objective, as when a request waits
// for calls that it makes, and well below it.
var workloads = map[string]workload{
	"slow requests, moderate load": {slots: 6, meanServiceTime: 400 * ms, sigma: 0.8, objective: 600 * ms, deadline: 1200 * ms, lateValue: 0.5, offeredLoad: 0.7, retries: 1},
	"slow requests, full load":     {slots: 6, meanServiceTime: 400 * ms, sigma: 0.8, objective: 600 * ms, deadline: 1200 * ms, lateValue: 0.5, offeredLoad: 1, retries: 1},
	"slow requests, overload":      {slots: 6, meanServiceTime: 400 * ms, sigma: 0.8, objective: 600 * ms, deadline: 1200 * ms, lateValue: 0.5, offeredLoad: 1.6, retries: 1},
	"fast requests, full load":     {slots: 12, meanServiceTime: 160 * ms, sigma: 0.8, objective: 500 * ms, deadline: 1000 * ms, lateValue: 0.3, offeredLoad: 1, retries: 1},
	"fast requests, overload":      {slots: 12, meanServiceTime: 160 * ms, sigma: 0.8, objective: 500 * ms, deadline: 1000 * ms, lateValue: 0.3, offeredLoad: 2, retries: 1},
}

// tolerance is the difference in the mean value, or in the fraction served, that is
// within the noise of five simulated minutes.
const tolerance = 0.01

// Guards against a queue that refuses requests that it could serve, and against
// one that serves all of them too late under overload. Compared with a queue that
// accepts only what is expected to meet its latency objective, it must give
// callers as much value and serve no fewer requests. It is meant to serve more while
// the target can catch up.
func TestAnswerValueUnderLoad(t *testing.T) {
	for name, w := range workloads {
		t.Run(name, func(t *testing.T) {
			strict := dispatch.DefaultConfig(w.slots)
			strict.MaxLateFraction = 0
			strictResults := simulateSeeds(w, strict)
			got := simulateSeeds(w, dispatch.DefaultConfig(w.slots))
			t.Logf("strict: value %.3f served %.3f %+v", strictResults.meanValue(w), strictResults.served(), strictResults)
			t.Logf("default: value %.3f served %.3f %+v", got.meanValue(w), got.served(), got)
			if got.meanValue(w) < strictResults.meanValue(w)-tolerance {
				t.Errorf("value %.3f is below %.3f", got.meanValue(w), strictResults.meanValue(w))
			}
			if got.served() < strictResults.served()-tolerance {
				t.Errorf("served %.3f is below %.3f", got.served(), strictResults.served())
			}
		})
	}
}

func simulateSeeds(w workload, cfg dispatch.Config) results {
	var sum results
	for seed := range uint64(5) {
		r := simulate(w, cfg, seed)
		sum.requests += r.requests
		sum.inTime += r.inTime
		sum.late += r.late
		sum.refused += r.refused
		sum.expired += r.expired
	}
	return sum
}
