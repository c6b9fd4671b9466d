package raft_test

import (
	"fmt"
	"math/rand/v2"

	"bramleyquay.example/coord/raft"
)

// A group of three replicas elects a leader and commits a command. The loop takes
// the place of the caller's disk, network and timer.
func Example() {
	voters := []raft.ID{"n1", "n2", "n3"}
	nodes := map[raft.ID]*raft.Node{}
	for i, id := range voters {
		node, err := raft.New(raft.Config{
			ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(uint64(i), 0)),
		}, raft.Bootstrap(voters))
		if err != nil {
			panic(err)
		}
		nodes[id] = node
	}
	proposed, applied := false, 0
	for applied < len(voters) {
		for _, id := range voters {
			node := nodes[id]
			node.Tick()
			if !proposed {
				_, err := node.Propose([]byte("assign unit 7 to m3"))
				proposed = err == nil
			}
			for node.HasReady() {
				ready := node.Ready()
				// A real caller syncs ready.Snapshot, ready.HardState and
				// ready.Entries here.
				for _, m := range ready.Messages {
					if err := nodes[m.To].Step(m); err != nil {
						panic(err)
					}
				}
				for _, e := range ready.Committed {
					if e.Kind == raft.EntryCommand {
						applied++
						fmt.Println(string(e.Data))
					}
				}
				node.Advance(ready)
			}
		}
	}
	// Output:
	// assign unit 7 to m3
	// assign unit 7 to m3
	// assign unit 7 to m3
}
