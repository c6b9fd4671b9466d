package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// Guards against a priority that gets no starts while a more urgent one overloads the
// target, against less urgent requests that are refused only after a long wait, and
// against urgent ones that wait behind them.
func TestPrioritiesUnderOverload(t *testing.T) {
	const capacity = 12 / 0.24 // requests per second
	for _, c := range []struct {
		urgent, normal                   float64 // relative to the capacity
		urgentObjective, normalObjective time.Duration
	}{
		{0.9, 0.8, 800 * ms, 2000 * ms}, {1.3, 0.5, 800 * ms, 800 * ms}, {2, 0.5, 800 * ms, 800 * ms}, {2, 0.5, 400 * ms, 1200 * ms}, {0.5, 0.3, 800 * ms, 800 * ms},
	} {
		urgent := dispatch.Request{ServiceTimeGroup: "urgent", Objective: c.urgentObjective, Deadline: 5000 * ms}
		normal := dispatch.Request{ServiceTimeGroup: "normal", Priority: 2, Objective: c.normalObjective, Deadline: 5000 * ms}
		t.Logf("%+v", c)
		got := playSeeds(t, dispatch.DefaultConfig(12), []flow{
			{request: urgent, perSecond: c.urgent * capacity, service: 240 * ms, retries: 2},
			{request: normal, perSecond: c.normal * capacity, service: 240 * ms, retries: 2},
		})
		// A tenth of the starts while normal requests wait, which they do most of the time.
		if share := float64(got[1].served()) / float64(got[0].served()+got[1].served()); share < 0.08 {
			t.Errorf("share of the starts %.3f", share)
		}
		if got[1].heldBack > len(got[1].waits)/50 {
			t.Errorf("%d of %d refusals came after half of the objective", got[1].heldBack, len(got[1].waits))
		}
		if possible := min(float64(got[0].requests), 0.9*capacity*300); float64(got[0].served()) < 0.9*possible {
			t.Errorf("%d of %.0f urgent requests were served", got[0].served(), possible)
		}
	}
}

// Guards against a less urgent request that keeps its place before a more urgent one,
// which cannot meet its objective then, and against more of them that give way than
// necessary.
func TestLessUrgentGivesWay(t *testing.T) {
	is := is.New(t)
	q := dispatch.New(dispatch.DefaultConfig(1))
	q.Offer(clock.At(0), request(1, "a", 2, 0, 1000*ms, 4000*ms))
	for id := range uint64(5) {
		is.Equal(len(q.Offer(clock.At(0), request(2+id, "a", 2, 0, 1000*ms, 4000*ms))), 0)
	}
	urgent := request(7, "u", 0, 700*ms, 520*ms, 2000*ms)
	urgent.NoWait = true // it tries other targets, and nothing gives way to it
	a := q.Offer(clock.At(700*ms), urgent)
	is.Equal(len(a), 1)
	is.Equal(a[0].Reason, dispatch.ReasonNoFreeSlot)
	urgent.NoWait = false
	a = q.Offer(clock.At(700*ms), urgent)
	is.Equal(len(a), 2)
	for _, refusal := range a {
		is.Equal(refusal.Reason, dispatch.ReasonGaveWay)
		is.True(refusal.ID == 5 || refusal.ID == 6)
	}
}
