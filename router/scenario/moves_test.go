package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// catalogueShards is the number of shards in the example document.
const catalogueShards = 32

// unitsOfKey returns the unit of a catalogue key that is split out of its shard, and
// the unit of the shard.
func unitsOfKey(key string) (keyUnit, shardUnit shard.Unit) {
	hash := shard.Hash(key)
	shardUnit = shard.Unit{Keyspace: "catalogue", Shard: shard.IndexForHash(hash, catalogueShards)}
	keyUnit = shardUnit
	keyUnit.KeyHash = hash
	return keyUnit, shardUnit
}

// owner returns the id of the node whose dump shows that it serves the unit, or ""
// if there is none.
func (s *state) owner(u shard.Unit) string {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, n := range s.cluster.Nodes {
		d, err := n.Dump(ctx)
		if err != nil {
			continue
		}
		for _, e := range d.Owned {
			if e.Unit == u && e.Phase == table.Serving {
				return n.ID
			}
		}
	}
	return ""
}

// moveUnit moves a unit to the member named to and waits until that member serves it.
func moveUnit(ts *testscript.TestScript, u shard.Unit, to string) {
	begin := time.Now()
	if stateOf(ts).owner(u) != to {
		if code, out := runBqctl(ts, "move", u.String(), to); code != 0 {
			ts.Fatalf("move failed: %s", out)
		}
	}
	for stateOf(ts).owner(u) != to {
		if time.Since(begin) > waitTimeout {
			ts.Fatalf("unit %s is not served by %s", u, to)
		}
		time.Sleep(5 * time.Millisecond)
	}
	ts.Logf("unit %s is served by %s after %s", u, to, time.Since(begin).Round(time.Millisecond))
}

// moveShard moves a unit: moveshard UNIT MEMBER.
func moveShard(ts *testscript.TestScript, _ bool, args []string) {
	u, err := shard.Parse(args[0])
	ts.Check(err)
	moveUnit(ts, u, args[1])
}

// moveKey moves a split key to a member, or with "shard" to the owner of its shard:
// movekey KEY MEMBER|shard.
func moveKey(ts *testscript.TestScript, _ bool, args []string) {
	keyUnit, shardUnit := unitsOfKey(args[0])
	to := args[1]
	if to == "shard" {
		to = stateOf(ts).owner(shardUnit)
	}
	moveUnit(ts, keyUnit, to)
}

// mergeKey merges a split key back into its shard and waits until its unit is no
// longer served: mergekey KEY.
func mergeKey(ts *testscript.TestScript, _ bool, args []string) {
	keyUnit, _ := unitsOfKey(args[0])
	if code, out := runBqctl(ts, "merge", keyUnit.String()); code != 0 {
		ts.Fatalf("merge failed: %s", out)
	}
	for deadline := time.Now().Add(waitTimeout); stateOf(ts).owner(keyUnit) != ""; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("unit %s is still served", keyUnit)
		}
	}
}

// repeatCrash kills or freezes one catalogue node after the other and requires each
// time that no key was unserved for longer than the limit: repeatcrash COUNT LIMIT.
func repeatCrash(ts *testscript.TestScript, _ bool, args []string) {
	var count int
	_, err := fmt.Sscan(args[0], &count)
	ts.Check(err)
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	s := stateOf(ts)
	longest := time.Duration(0)
	for i := range count {
		nodes := s.cluster.NodesOf("catalogue")
		n := nodes[i%len(nodes)]
		s.resetGaps()
		s.setDown(n.ID, true)
		switch {
		case i%2 == 0:
			n.Daemon.Kill()
		default:
			n.Daemon.Freeze()
		}
		time.Sleep(2500 * time.Millisecond) // longer than the script's limit of 2 s, so that a late failover is seen
		for kind, l := range s.loads {
			longest = max(longest, l.LongestUnserved())
			if l.LongestUnserved() > limit {
				ts.Fatalf("round %d: %s was unserved for %s", i+1, kind, l.LongestUnserved())
			}
		}
		if i%2 == 1 {
			n.Daemon.Kill()
		}
		restart(ts, false, []string{n.ID})
		serving(ts, false, nil)
	}
	ts.Logf("%d losses, unserved for at most %s", count, longest.Round(time.Millisecond))
}
