package ranges_test

import (
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/ranges"
)

func holder(name string) ranges.Holder {
	return ranges.Holder{Target: name, Incarnation: 1, Process: name}
}

func candidates(names ...string) []ranges.Candidate {
	var out []ranges.Candidate
	for _, n := range names {
		out = append(out, ranges.Candidate{Holder: holder(n), Slots: 4, Utilization: 0.9})
	}
	return out
}

func loadByTarget(keyRanges []ranges.Range, load *ranges.Load) map[string]float64 {
	out := map[string]float64{}
	for _, r := range keyRanges {
		for k := int(r.From); k <= int(r.To); k += 64 { // 64 keys are one load bucket
			out[r.Holder.Target] += load[ranges.Bucket(uint16(k))]
		}
	}
	return out
}

// Guards against keys without a holder after the first assignment, and against one
// target that gets many adjacent keys, which are often busy together.
func TestFirstAssignment(t *testing.T) {
	is := is.New(t)
	keyRanges, changed := ranges.Assign(ranges.UnassignedKeyspace(), candidates("a", "b", "c"), &ranges.Load{}, ranges.DefaultConfig())
	is.True(changed)
	is.True(ranges.Covers(keyRanges))
	count := map[string]int{}
	for _, r := range keyRanges {
		count[r.Holder.Target] += int(r.To) - int(r.From) + 1
	}
	for name, n := range count {
		if n < 20000 || n > 24000 {
			t.Errorf("%s holds %d keys", name, n)
		}
	}
	holders := map[string]bool{}
	for key := uint16(0); key < 2048; key += 64 {
		r, ok := ranges.Find(keyRanges, key)
		is.True(ok)
		holders[r.Holder.Target] = true
	}
	is.Equal(len(holders), 3)
}

// Guards against a holder of a hot key that keeps the other keys near it as well.
func TestNeighboursOfHotKeyMove(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b", "c", "d")
	var load ranges.Load
	for i := range load {
		load[i] = 1
	}
	load[5] = 600 // more than a third of the load
	keyRanges, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	for range 40 {
		next, changed := ranges.Rebalance(keyRanges, cands, &load, cfg)
		if !changed {
			break
		}
		next, _ = ranges.ReclaimLost(next, func(ranges.Holder) bool { return false })
		for _, r := range next {
			if r.Releasing {
				next, _ = ranges.Release(next, r, "token")
			}
		}
		keyRanges, _ = ranges.Assign(next, cands, &load, cfg)
	}
	is.True(ranges.Covers(keyRanges))
	hot, _ := ranges.Find(keyRanges, 5*64)
	for name, l := range loadByTarget(keyRanges, &load) {
		if name != hot.Holder.Target && l < 200 {
			t.Errorf("%s has load %.0f although another target has a hot key", name, l)
		}
	}
	if l := loadByTarget(keyRanges, &load)[hot.Holder.Target]; l > 700 {
		t.Errorf("the holder of the hot key still has load %.0f", l)
	}
}

// Guards against a new target that never gets ranges.
func TestNewTargetGetsRanges(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	keyRanges, _ := ranges.Assign(ranges.UnassignedKeyspace(), candidates("a", "b"), &ranges.Load{}, cfg)
	keyRanges, changed := ranges.Rebalance(keyRanges, candidates("a", "b", "c"), &ranges.Load{}, cfg)
	is.True(changed)
	for _, r := range keyRanges {
		if r.Releasing {
			keyRanges, _ = ranges.Release(keyRanges, r, "")
		}
	}
	keyRanges, _ = ranges.Assign(keyRanges, candidates("a", "b", "c"), &ranges.Load{}, cfg)
	is.True(loadByTarget(keyRanges, &ranges.Load{0: 1, 1023: 1}) != nil)
	n := 0
	for _, r := range keyRanges {
		if r.Holder.Target == "c" {
			n++
		}
	}
	is.True(n > 0)
}

// Guards against moves between targets with low utilization: a moving key is not
// served for a while.
func TestIdleTargetsAreNotRebalanced(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b", "c")
	keyRanges, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	for i := range cands {
		cands[i].Utilization = 0.3
	}
	_, changed := ranges.Rebalance(keyRanges, cands, &ranges.Load{5: 1000, 6: 10}, cfg)
	is.True(!changed)
}

// Guards against the same number of ranges for targets of different capacity.
func TestAssignmentFollowsCapacity(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b")
	cands[0].Capacity, cands[1].Capacity = 30, 10
	keyRanges, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	n := map[string]int{}
	for _, r := range keyRanges {
		n[r.Holder.Target]++
	}
	is.Equal(n["a"], 3*n["b"])
}

// Guards against a late release report that releases a range at a later fence.
func TestStaleRelease(t *testing.T) {
	is := is.New(t)
	keyRanges := []ranges.Range{{From: 0, To: ranges.LastKey, Holder: holder("a"), Fence: 4, Releasing: true}}
	old := keyRanges[0]
	old.Fence = 3
	_, changed := ranges.Release(keyRanges, old, "x")
	is.True(!changed)
	_, changed = ranges.Release(keyRanges, keyRanges[0], "x")
	is.True(changed)
}
