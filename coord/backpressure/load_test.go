package backpressure_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/backpressure"
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

const ms = time.Millisecond

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

// service is a target with its queue. onStart and onRefused are set for each request.
type service struct {
	queue     *dispatch.Queue
	onStart   map[uint64]func()
	onRefused map[uint64]func()
}

func newService(slots int) *service {
	return &service{queue: dispatch.New(dispatch.DefaultConfig(slots)), onStart: map[uint64]func(){}, onRefused: map[uint64]func(){}}
}

// world has service A, whose runs make two calls to service B one after the other, and
// B, which has requests of its own too.
type world struct {
	now     time.Duration
	pending events
	rng     *rand.Rand
	a, b    *service
	limiter *backpressure.Limiter // nil without the part
	lastID  uint64
	load
	served, wasted, refused, bOwn, bOwnRefused int
}

// load is what the services get beside 40 requests per second to A.
type load struct {
	bSlots      int
	own         float64 // requests per second of B's own
	ownPriority int
	badTarget   float64 // share of calls that the target of B rejects
	countBad    bool    // rejections count as refusals for lack of room
}

func (w *world) String() string {
	return fmt.Sprintf("served %d, wasted %d, refused %d; B's own: served %d, refused %d", w.served, w.wasted, w.refused, w.bOwn, w.bOwnRefused)
}

func (w *world) after(d time.Duration, run func()) { heap.Push(&w.pending, event{w.now + d, run}) }

func (w *world) carryOut(s *service, actions []dispatch.Action) {
	for _, a := range actions {
		if a.Start {
			s.onStart[a.ID]()
		} else {
			s.onRefused[a.ID]()
		}
		delete(s.onStart, a.ID)
		delete(s.onRefused, a.ID)
	}
}

// submit offers a request to a service. started gets its number.
func (w *world) submit(s *service, r dispatch.Request, started func(uint64), refused func()) {
	w.lastID++
	id := w.lastID
	r.ID, r.Arrived, r.Objective, r.Deadline = id, w.now, w.now+r.Objective, w.now+r.Deadline
	s.onStart[id], s.onRefused[id] = func() { started(id) }, refused
	w.carryOut(s, s.queue.Offer(clock.At(w.now), r))
}

func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + w.rng.Float64()))
}

// run plays one run of A from its start.
func (w *world) run(id uint64, deadline time.Duration) {
	if w.limiter != nil {
		w.limiter.RunStarted(w.now, id, "", "a")
	}
	end := func(failed bool) {
		if failed = failed || w.now > deadline; failed {
			w.wasted++
		} else {
			w.served++
		}
		if w.limiter != nil {
			w.limiter.RunEnded(w.now, id, failed)
			w.a.queue.SetGroupLimit("a", w.limiter.Limit("a"))
		}
		w.carryOut(w.a, w.a.queue.Done(clock.At(w.now), id, !failed))
	}
	w.after(w.jitter(60*ms), func() {
		w.call(func(ok bool) {
			if !ok {
				end(true)
				return
			}
			w.after(w.jitter(60*ms), func() { w.call(func(ok bool) { end(!ok) }) })
		})
	})
}

// call plays one call of A to B.
func (w *world) call(done func(ok bool)) {
	c := backpressure.Call{Route: "b"}
	if w.limiter != nil {
		w.limiter.CallStarted(w.now, c)
	}
	r := dispatch.Request{ServiceTimeGroup: "call", Priority: 1, Objective: 300 * ms, Deadline: 600 * ms}
	w.submit(w.b, r, func(id uint64) {
		took := w.jitter(100 * ms)
		bad := w.rng.Float64() < w.badTarget
		if bad {
			took = 5 * ms
		}
		w.after(took, func() {
			w.carryOut(w.b, w.b.queue.Done(clock.At(w.now), id, !bad))
			if bad && w.countBad && w.limiter != nil {
				w.limiter.CallLackedRoom(c)
			}
			done(!bad)
		})
	}, func() {
		if w.limiter != nil {
			w.limiter.CallLackedRoom(c)
		}
		done(false)
	})
}

// play sends requests for two minutes, 40 per second to A with 12 slots.
func play(l load, limiter *backpressure.Limiter) *world {
	w := &world{rng: rand.New(rand.NewPCG(1, 3)), a: newService(12), b: newService(l.bSlots), limiter: limiter, load: l}
	arrivals := func(perSecond float64, arrive func()) {
		var next func()
		next = func() {
			arrive()
			w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		w.after(0, next)
	}
	arrivals(40, func() {
		deadline := w.now + 2000*ms
		r := dispatch.Request{ServiceTimeGroup: "a", Priority: 2, Objective: 1000 * ms, Deadline: 2000 * ms}
		w.submit(w.a, r, func(id uint64) { w.run(id, deadline) }, func() { w.refused++ })
	})
	if l.own > 0 {
		arrivals(l.own, func() {
			r := dispatch.Request{ServiceTimeGroup: "own", Priority: l.ownPriority, Objective: 300 * ms, Deadline: 600 * ms}
			w.submit(w.b, r, func(id uint64) {
				w.after(w.jitter(100*ms), func() {
					w.bOwn++
					w.carryOut(w.b, w.b.queue.Done(clock.At(w.now), id, true))
				})
			}, func() { w.bOwnRefused++ })
		})
	}
	var tick func()
	tick = func() {
		w.carryOut(w.a, w.a.queue.Tick(clock.At(w.now)))
		w.carryOut(w.b, w.b.queue.Tick(clock.At(w.now)))
		w.after(20*ms, tick)
	}
	w.after(0, tick)
	for w.now < 2*time.Minute {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.run()
	}
	return w
}

// testCase is a load and what it must come to, relative to the same load without the limiter.
type testCase struct {
	bSlots      int
	own         float64 // requests per second of B's own
	ownPriority int
	// minServed bounds the served runs, maxWasted the wasted ones.
	minServed, maxWasted float64
}

// Guards against runs that use their target for nothing, because a service that they
// call has no room, and against a loss of useful work to avoid that.
func TestWastedRuns(t *testing.T) {
	for name, c := range map[string]testCase{
		"half the room":                    {bSlots: 4, minServed: 1, maxWasted: 0.25},
		"half the room, with own requests": {bSlots: 8, own: 40, ownPriority: 1, minServed: 0.95, maxWasted: 0.5},
		"half the room, own urgent ones":   {bSlots: 8, own: 40, minServed: 0.95, maxWasted: 0.5},
		"no room beside B's own requests":  {bSlots: 4, own: 40, ownPriority: 1, maxWasted: 0.25},
		"room for all, also for B's own":   {bSlots: 12, own: 20, ownPriority: 1, minServed: 1, maxWasted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			before := play(load{bSlots: c.bSlots, own: c.own, ownPriority: c.ownPriority}, nil)
			l := backpressure.New(backpressure.DefaultConfig())
			after := play(load{bSlots: c.bSlots, own: c.own, ownPriority: c.ownPriority}, l)
			t.Logf("without: %s", before)
			t.Logf("with:    %s", after)
			if float64(after.served) < c.minServed*float64(before.served) || float64(after.wasted) > c.maxWasted*float64(before.wasted) {
				t.Error("too few served or too many wasted")
			}
			if after.served+after.bOwn < before.served+before.bOwn-before.served/20 {
				t.Error("both services together have served less")
			}
		})
	}
}

// Guards against fewer runs because of a bad target of the called service, at which fewer
// calls do not help: three of ten calls fail, whatever their number.
func TestBadTargetIsLeftOut(t *testing.T) {
	bad := load{bSlots: 12, badTarget: 0.3}
	before := play(bad, nil)
	l := backpressure.New(backpressure.DefaultConfig())
	after := play(bad, l)
	bad.countBad = true
	counted := play(bad, backpressure.New(backpressure.DefaultConfig()))
	t.Logf("without: %s", before)
	t.Logf("with: %s", after)
	t.Logf("if rejections counted: %s", counted)
	if l.Limit("a") != 0 || after.served < before.served {
		t.Error("a bad target has limited the runs")
	}
}

// Guards against a bound that stays after the lack of room has ended, and against one
// because of refused requests of callers that use the same ingress.
func TestBoundIsRemoved(t *testing.T) {
	is := is.New(t)
	l := backpressure.New(backpressure.DefaultConfig())
	now, number := time.Duration(0), uint64(0)
	runs := func(n int, lackedRoom, failed bool) {
		for range n {
			number += 2
			call := backpressure.Call{Route: "b"}
			l.RunStarted(now, number, "", "a")
			l.RunStarted(now, number+1, "", "a")
			l.CallStarted(now, call)
			if lackedRoom {
				l.CallLackedRoom(call)
			}
			now += 200 * ms
			l.RunEnded(now, number, failed)
			l.RunEnded(now, number+1, false)
		}
	}
	runs(50, true, true)
	is.Equal(l.Limit("a"), 1)
	runs(100, false, false)
	is.Equal(l.Limit("a"), 0)
	own := backpressure.Call{Route: "a", NoCall: true}
	for range 50 { // refused requests of callers that are no calls
		number++
		l.RunStarted(now, number, "", "a")
		l.CallStarted(now, own)
		l.CallLackedRoom(own)
		now += 200 * ms
		l.RunEnded(now, number, true)
	}
	is.Equal(l.Limit("a"), 0)
	for range 20 { // callers' requests of the route, also while nothing runs
		l.CallStarted(now, backpressure.Call{Route: "b"})
	}
	runs(50, true, true)
	is.Equal(l.Limit("a"), 0)
}
