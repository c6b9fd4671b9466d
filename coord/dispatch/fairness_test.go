package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// Guards against a caller with much more than its share whose requests displace those of
// callers below theirs, against a loss of useful work by fairness, and against another
// order than without fairness while there is room for all.
func TestFairShares(t *testing.T) {
	const capacity = 12 / 0.24 // requests per second
	for _, c := range []struct {
		heavy, light float64 // loads of one caller and of ten others, relative to the capacity
		fits         bool
	}{{1, 0.5, false}, {1.5, 0.5, false}, {0.3, 0.3, true}, {0.2, 0.7, true}} {
		flows := make([]flow, 11)
		for i := range flows {
			flows[i] = flow{perSecond: c.light * capacity / 10, service: 240 * ms, retries: 2,
				request: dispatch.Request{ServiceTimeGroup: "a", Objective: 800 * ms, Deadline: 5000 * ms}}
		}
		flows[0].perSecond = c.heavy * capacity
		t.Logf("%+v", c)
		unfair := playSeeds(t, dispatch.DefaultConfig(12), flows)
		for i := range flows {
			flows[i].request.Flow = fmt.Sprint(i)
		}
		fair := playSeeds(t, dispatch.DefaultConfig(12), flows)
		total, before := 0, 0
		for i := range flows {
			total, before = total+fair[i].inTime, before+unfair[i].inTime
			if i > 0 && fair[i].served() < fair[i].requests*97/100 {
				t.Errorf("caller %d below its share: %d of %d served", i, fair[i].served(), fair[i].requests)
			}
		}
		if total < before*97/100 {
			t.Errorf("in time %d, without fairness %d", total, before)
		}
		if c.fits && total < before-before/500 {
			t.Errorf("with room for all %d in time, without fairness %d", total, before)
		}
	}
}

// Guards against shares that do not follow the weights.
func TestWeightedShares(t *testing.T) {
	const capacity = 12 / 0.24
	req := dispatch.Request{ServiceTimeGroup: "a", Objective: 800 * ms, Deadline: 5000 * ms, Flow: "one", Weight: 1}
	three := req
	three.Flow, three.Weight = "three", 3
	got := playSeeds(t, dispatch.DefaultConfig(12), []flow{
		{request: req, perSecond: capacity, service: 240 * ms, retries: 2},
		{request: three, perSecond: capacity, service: 240 * ms, retries: 2},
	})
	if ratio := float64(got[1].served()) / float64(got[0].served()); ratio < 2.4 || ratio > 3.6 {
		t.Errorf("ratio %.2f", ratio)
	}
}

// Guards against a full queue that refuses a request of a caller below its share in place
// of one above it, and against flows without bound.
func TestFullQueueKeepsShares(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.Config{Slots: 1, QueueLength: 4, MaxLateFraction: 1})
	heavy := request(0, "a", 0, 0, 1000*ms, 900000*ms)
	heavy.Flow = "heavy"
	refused := 0
	for id := range uint64(100) { // enough to count as overload
		heavy.ID = id
		refused += len(q.Offer(clock.At(0), heavy)) // the first one starts
	}
	is.Equal(refused, 96)
	light := heavy
	light.ID, light.Flow = 1000, "light"
	a := q.Offer(clock.At(0), light)
	is.Equal(len(a), 1)
	is.True(a[0].ID != light.ID)
	is.Equal(a[0].Reason, dispatch.ReasonAboveShare)
}
