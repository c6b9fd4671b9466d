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

func request(id uint64, class string, rank int, now, objective, deadline time.Duration) dispatch.Request {
	return dispatch.Request{ID: id, ServiceTimeGroup: class, Priority: rank, Arrived: now, Objective: now + objective, Deadline: now + deadline}
}

// Guards against more requests at the target than it has slots.
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

// Guards against a short call that waits behind long requests: its parent
// holds a slot meanwhile.
func TestShortObjectiveFirst(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	q.Offer(clock.At(0), request(1, "long", 0, 0, 900*ms, 2000*ms))
	q.Offer(clock.At(0), request(2, "long", 0, 0, 900*ms, 2000*ms))
	q.Offer(clock.At(0), request(3, "call", 0, 0, 250*ms, 500*ms))
	a := q.Done(clock.At(10*ms), 1, false)
	is.Equal(a[0].ID, uint64(3))
}

// Guards against a queue in which every request is served too late.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	refused, inTime, served := 0, 0, 0
	// Arrivals every 50 ms, service 100 ms: twice what the target can serve.
	type run struct {
		id       uint64
		end, due time.Duration
	}
	var current *run
	due := map[uint64]time.Duration{}
	begin := func(now time.Duration, actions []dispatch.Action) {
		for _, a := range actions {
			if a.Start {
				current = &run{id: a.ID, end: now + 100*ms, due: due[a.ID]}
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
			if now <= r.due {
				inTime++
			}
			begin(now, q.Done(clock.At(now), r.id, true))
		}
		if now%(50*ms) == 0 {
			id++
			due[id] = now + 300*ms
			begin(now, q.Offer(clock.At(now), request(id, "a", 0, now, 300*ms, 1000*ms)))
		}
	}
	if served < 195 || inTime < 9*served/10 {
		t.Fatalf("served %d, in time %d, refused %d", served, inTime, refused)
	}
}

// Guards against a cold target that gets more than it bears within a second.
func TestColdPace(t *testing.T) {
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

// Guards against a request that waits although another target may be free,
// and against one that overtakes those that wait already.
func TestEagerRequest(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	eager := request(1, "a", 0, 0, 500*ms, 2000*ms)
	eager.NoWait = true
	is.True(q.Offer(clock.At(0), eager)[0].Start)
	eager.ID = 2
	a := q.Offer(clock.At(0), eager)
	is.Equal(a[0].Reason, dispatch.ReasonNoFreeSlot)
	is.True(a[0].RetryAfter > 0)
	_, waiting, _ := q.Load()
	is.Equal(waiting, 0)
}

// Guards against a short urgent call that is refused while long requests of a
// lower or equal rank overload the target: its refusal fails the request that made it.
func TestUrgentCallUnderOverload(t *testing.T) {
	for _, rank := range []int{1, 2} { // of the long requests; calls have 1
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) { testCallUnderOverload(t, rank) })
	}
}

func testCallUnderOverload(t *testing.T, rank int) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(2))
	var id uint64
	refused := 0
	running := map[uint64]time.Duration{}
	isCall := map[uint64]bool{}
	take := func(now time.Duration, actions []dispatch.Action) {
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
				take(now, q.Done(clock.At(now), r, true))
			}
		}
		if now%(100*ms) == 0 { // twice what the target can do
			id++
			take(now, q.Offer(clock.At(now), request(id, "long", rank, now, 600*ms, 1200*ms)))
		}
		if now%(500*ms) == 0 {
			id++
			calls++
			isCall[id] = true
			take(now, q.Offer(clock.At(now), request(id, "call", 1, now, 150*ms, 500*ms)))
		}
	}
	is.Equal(calls, 20)
	is.True(refused <= 1)
}
