package balancer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Guards against requests to another data centre although a target in the same
// one is free, and against a failing target that is still tried first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	b := balancer.New(balancer.Config{DataCentre: "x"}, rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(clock.At(0), []balancer.Target{
		{ID: "far1", DataCentre: "y", Slots: 4}, {ID: "near", DataCentre: "x", Slots: 4}, {ID: "far2", DataCentre: "z", Slots: 4},
		{ID: "drained", DataCentre: "x", Slots: 4, Draining: true},
	})
	now := clock.At(time.Second)
	b.Started(now, "far1")
	is.Equal(b.Order(now), []table.MemberID{"near", "far2", "far1"})
	is.Equal(b.Order(now, "near"), []table.MemberID{"far2", "far1"})
	for range 20 {
		b.Started(now, "near")
		b.Finished(now, "near", balancer.Result{Latency: time.Millisecond, Kind: balancer.Failed})
	}
	last := 0
	for range 20 {
		if order := b.Order(now); slices.Index(order, "near") == len(order)-1 {
			last++
		}
	}
	is.True(last >= 15) // in the other cases it comes first as a probe
}

// Guards against a target of low weight that keeps its place in the same data centre
// or gets no requests at all, against one that a retry is sent to, and against a
// service whose targets are all bad and get fewer requests.
func TestOrderByWeight(t *testing.T) {
	is := is.New(t)
	b := balancer.New(balancer.Config{DataCentre: "x"}, rand.New(rand.NewPCG(1, 2)))
	targets := []balancer.Target{{ID: "near1", DataCentre: "x", Slots: 4}, {ID: "near2", DataCentre: "x", Slots: 4}, {ID: "far", DataCentre: "y", Slots: 4}}
	b.SetTargets(clock.At(0), targets)
	first := func(id table.MemberID, exclude ...table.MemberID) (n int) {
		for range 1000 {
			if b.Order(clock.At(0), exclude...)[0] == id {
				n++
			}
		}
		return n
	}
	is.True(first("near1") > 400 && first("far") == 0)
	targets[0].Weight = 1
	b.SetTargets(clock.At(0), targets)
	n := first("near1") // one ninth of the weights in the data centre
	is.True(n > 20 && n < 160)
	is.Equal(first("near1", "near2"), 0) // a retry goes to the other data centre
	is.Equal(b.OrderByCapacity(clock.At(0), "near2")[0], table.MemberID("near1"))
	targets[1].Weight = 1
	b.SetTargets(clock.At(0), targets)
	is.True(first("far") > 700) // both near targets are bad
	targets[2].Weight = 1
	b.SetTargets(clock.At(0), targets)
	is.True(first("near1") > 400 && first("far") == 0)
	// The gate's report is newer than the directory, whose entry has not changed.
	b.Started(clock.At(0), "near1")
	b.Finished(clock.At(0), "near1", balancer.Result{Load: &balancer.GateLoad{Limit: 4}})
	b.SetTargets(clock.At(0), targets)
	is.True(first("near1") > 800)
}
