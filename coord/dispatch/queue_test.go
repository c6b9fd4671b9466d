package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

const ms = time.Millisecond

func request(id uint64, group string, priority int, now, objective, deadline time.Duration) dispatch.Request {
	return dispatch.Request{ID: id, ServiceTimeGroup: group, Priority: priority, Arrived: now, Objective: now + objective, Deadline: now + deadline}
}

// Guards against more running requests than the target has slots.
func TestSlots(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(2))
	for id := range uint64(4) {
		q.Offer(clock.At(0), request(id, "a", 0, 0, 500*ms, 2000*ms))
	}
	running, waiting, _ := q.Load()
	is.Equal(running, 2)
	is.Equal(waiting, 2)
	a := q.Done(clock.At(10*ms), 0, true)
	is.Equal(len(a), 1)
	is.True(a[0].Start)
}

// Guards against a short call that waits behind long requests: the request that
// made it occupies a slot meanwhile.
func TestShortObjectiveFirst(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	q.Offer(clock.At(0), request(1, "long", 0, 0, 900*ms, 2000*ms))
	q.Offer(clock.At(0), request(2, "long", 0, 0, 900*ms, 2000*ms))
	q.Offer(clock.At(0), request(3, "call", 0, 0, 250*ms, 500*ms))
	a := q.Done(clock.At(10*ms), 1, false)
	is.Equal(a[0].ID, uint64(3))
}

// Guards against a queue that accepts all requests under overload and serves each
// of them too late.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	refused, inTime, served := 0, 0, 0
	// Arrivals every 50 ms, service 100 ms: twice what the target can serve.
	type running struct {
		id             uint64
		end, objective time.Duration
	}
	var current *running
	objectives := map[uint64]time.Duration{}
	carryOut := func(now time.Duration, actions []dispatch.Action) {
		for _, a := range actions {
			if a.Start {
				current = &running{id: a.ID, end: now + 100*ms, objective: objectives[a.ID]}
			} else {
				refused++
				is.True(a.RetryAfter > 0)
			}
		}
	}
	id := uint64(0)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
		if current != nil && now >= current.end {
			r := current
			current = nil
			served++
			if now <= r.objective {
				inTime++
			}
			carryOut(now, q.Done(clock.At(now), r.id, true))
		}
		if now%(50*ms) == 0 {
			id++
			objectives[id] = now + 300*ms
			carryOut(now, q.Offer(clock.At(now), request(id, "a", 0, now, 300*ms, 1000*ms)))
		}
	}
	// The target can serve 200 requests in 20 s.
	if served < 195 || inTime < 9*served/10 {
		t.Fatalf("served %d, in time %d, refused %d", served, inTime, refused)
	}
}

// Guards against a burst of starts that overloads a cold target.
func TestColdStartRate(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(12))
	q.SetColdStartRate(clock.At(0), 3*time.Second, 5)
	starts := 0
	count := func(actions []dispatch.Action) {
		for _, a := range actions {
			if a.Start {
				starts++
			}
		}
	}
	for id := range uint64(200) {
		now := clock.At(time.Duration(id) * 5 * ms)
		count(q.Offer(now, request(id, "a", 0, now.Mono, 500*ms, 2000*ms)))
		count(q.Tick(now))
	}
	is.True(starts <= 6)
	is.True(starts >= 4)
}

// Guards against a no-wait request that is queued although another target may
// have a free slot.
func TestNoWaitRequest(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	noWait := request(1, "a", 0, 0, 500*ms, 2000*ms)
	noWait.NoWait = true
	is.True(q.Offer(clock.At(0), noWait)[0].Start)
	noWait.ID = 2
	a := q.Offer(clock.At(0), noWait)
	is.Equal(a[0].Reason, dispatch.ReasonNoFreeSlot)
	is.True(a[0].RetryAfter > 0)
	_, waiting, _ := q.Load()
	is.Equal(waiting, 0)
}

// Guards against a short call that is refused while long requests of a lower or
// the same priority overload the target: its refusal fails the request that made it.
func TestUrgentCallUnderOverload(t *testing.T) {
	for _, priority := range []int{1, 2} { // of the long requests; calls have 1
		t.Run(fmt.Sprint("priority ", priority), func(t *testing.T) { testCallUnderOverload(t, priority) })
	}
}

func testCallUnderOverload(t *testing.T, priority int) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(2))
	var id uint64
	refused := 0
	running := map[uint64]time.Duration{}
	isCall := map[uint64]bool{}
	carryOut := func(now time.Duration, actions []dispatch.Action) {
		for _, a := range actions {
			switch {
			case a.Start && isCall[a.ID]:
				running[a.ID] = now + 40*ms
			case a.Start:
				running[a.ID] = now + 400*ms
			case isCall[a.ID]:
				refused++
			}
		}
	}
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		for r, end := range running {
			if now >= end {
				delete(running, r)
				carryOut(now, q.Done(clock.At(now), r, true))
			}
		}
		if now%(100*ms) == 0 { // twice what the target can do
			id++
			carryOut(now, q.Offer(clock.At(now), request(id, "long", priority, now, 600*ms, 1200*ms)))
		}
		if now%(500*ms) == 0 {
			id++
			calls++
			isCall[id] = true
			carryOut(now, q.Offer(clock.At(now), request(id, "call", 1, now, 150*ms, 500*ms)))
		}
	}
	is.Equal(calls, 20)
	is.True(refused <= 1)
}
