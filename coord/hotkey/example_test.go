package hotkey_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/hotkey"
)

// If a member has one very hot key, another one of its keys is moved away.
func ExamplePlanner() {
	planner := hotkey.NewPlanner(hotkey.DefaultConfig())
	keys := []hotkey.KeyLoad{
		{Keyspace: "catalogue", Shard: 1, Hash: 11, Rate: 900, Owner: "a"},
		{Keyspace: "catalogue", Shard: 2, Hash: 12, Rate: 500, Owner: "a"},
	}
	members := []hotkey.MemberLoad{{Member: "a", Rate: 1400}, {Member: "b", Rate: 400}}
	for _, d := range planner.Plan(clock.At(time.Hour), keys, members, nil) {
		fmt.Println(d.Kind, d.Hash, "from", d.From, "to", d.To)
	}
	// Output: split 12 from a to b
}
