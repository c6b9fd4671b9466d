package choice_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/choice"
	"bramleyquay.example/coord/clock"
)

// A process picks a target, reports the start and the end of the request, and
// asks for another target than the one that failed.
func Example() {
	now := clock.At(0)
	c := choice.New(choice.Config{DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
	c.SetTargets(now, []choice.Target{
		{ID: "a", DataCentre: "north", Slots: 12},
		{ID: "b", DataCentre: "south", Slots: 12},
	})
	id, _ := c.Pick(now)
	c.Started(now, id)
	now = now.Add(5 * time.Millisecond)
	c.Finished(now, id, choice.Result{Latency: 5 * time.Millisecond, Kind: choice.Refused, Load: &choice.GateLoad{Running: 12, Limit: 12, Queued: 6}})
	other, _ := c.Pick(now, id)
	fmt.Println(id, other)
	// Output: a b
}
