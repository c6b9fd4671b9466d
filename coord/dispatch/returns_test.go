package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// Guards against refused callers that come back again and again without getting room, and
// against a loss of served requests by the agreed times.
func TestAgreedReturns(t *testing.T) {
	const capacity = 18 / 0.24 // requests per second
	req := dispatch.Request{ServiceTimeGroup: "a", Objective: 800 * ms, Deadline: 5000 * ms}
	for _, c := range []struct {
		load    float64
		retries int
	}{{1.1, 2}, {1.7, 2}, {1.7, 20}} {
		f := flow{request: req, perSecond: c.load * capacity, service: 240 * ms, retries: c.retries}
		t.Logf("%+v", c)
		before := playSeeds(t, dispatch.DefaultConfig(18), []flow{f})[0]
		f.returns = true
		after := playSeeds(t, dispatch.DefaultConfig(18), []flow{f})[0]
		if after.served()*before.requests < before.served()*after.requests*99/100 {
			t.Errorf("served %d, before %d", after.served(), before.served())
		}
		if after.attempts > 2*after.requests {
			t.Errorf("%d attempts for %d requests", after.attempts, after.requests)
		}
	}
}

// Guards against callers that are all told the same time, against one that gains by
// returning early, and against new requests that go ahead of a caller that returns as
// agreed.
func TestReturnGoesFirst(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.Config{Slots: 1, QueueLength: 1, MaxLateFraction: 1})
	offer := func(id uint64, key string, now time.Duration) []dispatch.Action {
		r := request(id, "a", 0, now, 5000*ms, 20000*ms)
		r.ReturnKey = key
		return q.Offer(clock.At(now), r)
	}
	offer(1, "one", 0)
	offer(2, "two", 0)
	first, second := offer(3, "three", 0)[0].RetryAfter, offer(4, "four", 0)[0].RetryAfter
	is.True(second >= first+100*ms) // a service time or more
	early := offer(5, "four", 100*ms)[0]
	is.Equal(early.RetryAfter, second-100*ms)
	is.True(!early.Returning)
	q.SetSlots(2) // and a longer queue; the next method starts request 2
	q.Tick(clock.At(second - 2*ms))
	is.Equal(len(offer(6, "new", second-1*ms)), 0)
	is.Equal(len(offer(7, "four", second)), 0)
	a := q.Done(clock.At(second), 1, false)
	is.Equal(len(a), 1)
	is.Equal(a[0].ID, uint64(7))
	is.True(a[0].Returning)
}

// Guards against callers that wait as under lasting overload after a short burst.
func TestReturnsAfterBurst(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.Config{Slots: 18, QueueLength: 10, MaxLateFraction: 1})
	last, refused := time.Duration(0), 0
	for id := range uint64(48) {
		r := request(id, "a", 0, 0, 800*ms, 5000*ms)
		r.ReturnKey = fmt.Sprint(id)
		for _, a := range q.Offer(clock.At(0), r) {
			if !a.Start {
				refused++
				last = max(last, a.RetryAfter)
			}
		}
	}
	is.Equal(refused, 20)
	// The target serves all 48 in 48*100 ms/18.
	is.True(last < 600*ms)
}
