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

// Guards against requests that cross data centres although the near target is
// free, and against a target that fails its requests and stays in front.
func TestOrder(t *testing.T) {
	is := is.New(t)
	c := balancer.New(balancer.Config{DataCentre: "x"}, rand.New(rand.NewPCG(1, 2)))
	c.SetTargets(clock.At(0), []balancer.Target{
		{ID: "far1", DataCentre: "y", Slots: 4}, {ID: "near", DataCentre: "x", Slots: 4}, {ID: "far2", DataCentre: "z", Slots: 4},
		{ID: "drained", DataCentre: "x", Slots: 4, Draining: true},
	})
	now := clock.At(time.Second)
	c.Started(now, "far1")
	is.Equal(c.Order(now), []table.MemberID{"near", "far2", "far1"})
	is.Equal(c.Order(now, "near"), []table.MemberID{"far2", "far1"})
	for range 20 {
		c.Started(now, "near")
		c.Finished(now, "near", balancer.Result{Latency: time.Millisecond, Kind: balancer.Failed})
	}
	last := 0
	for range 20 {
		if order := c.Order(now); slices.Index(order, "near") == len(order)-1 {
			last++
		}
	}
	is.True(last >= 15) // the others are probes
}
