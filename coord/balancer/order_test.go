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
