package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/clock"
)

// A process picks a target, reports the start and the end of the request, and
// asks for another target than the one that failed.
func Example() {
	now := clock.At(0)
	c := balancer.New(balancer.Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	c.SetTargets(now, []balancer.Target{
		{ID: "a", DataCentre: "north", Slots: 12},
		{ID: "b", DataCentre: "south", Slots: 12},
	})
	id, _ := c.Pick(now)
	c.Started(now, id)
	now = now.Add(5 * time.Millisecond)
	c.Finished(now, id, balancer.Result{Latency: 5 * time.Millisecond, Kind: balancer.Refused, Load: &balancer.GateLoad{Running: 12, Limit: 12, Queued: 6}})
	other, _ := c.Pick(now, id)
	fmt.Println(id, other)
	// Output: a b
}
