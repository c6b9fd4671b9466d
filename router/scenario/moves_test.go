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

// unitsOfKey returns the unit of a split catalogue key and of its shard.
func unitsOfKey(key string) (split, whole shard.Unit) {
	hash := shard.Hash(key)
	whole = shard.Unit{Keyspace: "catalogue", Shard: shard.IndexForHash(hash, catalogueShards)}
	split = whole
	split.KeyHash = hash
	return split, whole
}

// owner returns the node that owns a unit by its own dump; "" if none does.
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

// moveUnit moves a unit and waits until its new owner serves it.
func moveUnit(ts *testscript.TestScript, u shard.Unit, to string) {
	begin := time.Now()
	if stateOf(ts).owner(u) != to {
		if code, out := runBqctl(ts, "move", u.String(), to); code != 0 {
			ts.Fatalf("move failed: %s", out)
		}
	}
	for stateOf(ts).owner(u) != to {
		if time.Since(begin) > waitTimeout {
			ts.Fatalf("unit %s did not arrive at %s", u, to)
		}
		time.Sleep(5 * time.Millisecond)
	}
	ts.Logf("unit %s is at %s after %s", u, to, time.Since(begin).Round(time.Millisecond))
}

// moveShard moves a unit: moveshard UNIT MEMBER.
func moveShard(ts *testscript.TestScript, _ bool, args []string) {
	u, err := shard.Parse(args[0])
	ts.Check(err)
	moveUnit(ts, u, args[1])
}

// moveKey moves a split key: movekey KEY MEMBER, or "shard" for its shard's
// owner.
func moveKey(ts *testscript.TestScript, _ bool, args []string) {
	split, whole := unitsOfKey(args[0])
	to := args[1]
	if to == "shard" {
		to = stateOf(ts).owner(whole)
	}
	moveUnit(ts, split, to)
}

// mergeKey merges a split key back and waits until its unit is gone.
func mergeKey(ts *testscript.TestScript, _ bool, args []string) {
	split, _ := unitsOfKey(args[0])
	if code, out := runBqctl(ts, "merge", split.String()); code != 0 {
		ts.Fatalf("merge failed: %s", out)
	}
	for end := time.Now().Add(waitTimeout); stateOf(ts).owner(split) != ""; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("unit %s still exists", split)
		}
	}
}

// repeatCrash crashes the owner of a key again and again and requires that each key
// is served again in time: repeatcrash COUNT LIMIT.
func repeatCrash(ts *testscript.TestScript, _ bool, args []string) {
	var count int
	_, err := fmt.Sscan(args[0], &count)
	ts.Check(err)
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	s := stateOf(ts)
	worst := time.Duration(0)
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
		time.Sleep(2500 * time.Millisecond)
		for kind, l := range s.loads {
			worst = max(worst, l.LongestUnserved())
			if l.LongestUnserved() > limit {
				ts.Fatalf("round %d: %s had a gap of %s", i+1, kind, l.LongestUnserved())
			}
		}
		if i%2 == 1 {
			n.Daemon.Kill()
		}
		restart(ts, false, []string{n.ID})
		serving(ts, false, nil)
	}
	ts.Logf("%d losses, longest gap %s", count, worst.Round(time.Millisecond))
}
