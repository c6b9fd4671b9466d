package placement_test

import (
	"fmt"

	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// A planner assigns the units of a lost member to the members with the least load.
func Example() {
	planner := placement.NewPlanner(placement.DefaultConfig())
	members := []placement.Member{{ID: "m1", DataCentre: "a"}, {ID: "m2", DataCentre: "b"}}
	units := []placement.UnitInfo{{ID: shard.Unit{Keyspace: "clubs", Shard: 7}}, {ID: shard.Unit{Keyspace: "clubs", Shard: 8}}}
	current := map[table.MemberID]float64{"m1": 3, "m2": 2}
	for _, a := range planner.Assign(units, members, current) {
		fmt.Println(a.Unit, a.To)
	}
	// Output:
	// clubs/7 m2
	// clubs/8 m1
}
