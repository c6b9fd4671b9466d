package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/clock"
)

// A process picks a target, reports the start and the end of the request, and
// picks another target after a refusal.
func Example() {
	now := clock.At(0)
	b := balancer.New(balancer.Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(now, []balancer.Target{
		{ID: "a", DataCentre: "north", Slots: 12},
		{ID: "b", DataCentre: "south", Slots: 12},
	})
	id, _ := b.Pick(now)
	b.Started(now, id)
	now = now.Add(5 * time.Millisecond)
	b.Finished(now, id, balancer.Result{Latency: 5 * time.Millisecond, Kind: balancer.Refused, Load: &balancer.GateLoad{Running: 12, Limit: 12, Queued: 6}})
	other, _ := b.Pick(now, id)
	fmt.Println(id, other)
	// Output: a b
}
