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

func held(rows []ranges.Range, load *ranges.Load) map[string]float64 {
	out := map[string]float64{}
	for _, r := range rows {
		for k := int(r.From); k <= int(r.To); k += 64 {
			out[r.Holder.Target] += load[ranges.Bucket(uint16(k))]
		}
	}
	return out
}

// Guards against keys that nobody holds after the first assignment, and
// against one target that gets all of a busy neighbourhood.
func TestFirstAssignment(t *testing.T) {
	is := is.New(t)
	rows, changed := ranges.Assign(ranges.UnassignedKeyspace(), candidates("a", "b", "c"), &ranges.Load{}, ranges.DefaultConfig())
	is.True(changed)
	is.True(ranges.Covers(rows))
	count := map[string]int{}
	for _, r := range rows {
		count[r.Holder.Target] += int(r.To) - int(r.From) + 1
	}
	for name, n := range count {
		if n < 20000 || n > 24000 {
			t.Errorf("%s holds %d keys", name, n)
		}
	}
	near := map[string]bool{}
	for key := uint16(0); key < 2048; key += 64 {
		r, ok := ranges.Find(rows, key)
		is.True(ok)
		near[r.Holder.Target] = true
	}
	is.Equal(len(near), 3)
}

// Guards against a hot key whose owner also keeps its neighbours.
func TestNeighboursOfHotKeyMove(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b", "c", "d")
	var load ranges.Load
	for i := range load {
		load[i] = 1
	}
	load[5] = 600 // more than a third of all
	rows, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	for range 40 {
		next, changed := ranges.Rebalance(rows, cands, &load, cfg)
		if !changed {
			break
		}
		next, _ = ranges.ReclaimLost(next, func(ranges.Holder) bool { return false })
		for _, r := range next {
			if r.Releasing {
				next, _ = ranges.Release(next, r, "token")
			}
		}
		rows, _ = ranges.Assign(next, cands, &load, cfg)
	}
	is.True(ranges.Covers(rows))
	hot, _ := ranges.Find(rows, 5*64)
	for name, l := range held(rows, &load) {
		if name != hot.Holder.Target && l < 200 {
			t.Errorf("%s has load %.0f beside a hot key", name, l)
		}
	}
	if l := held(rows, &load)[hot.Holder.Target]; l > 700 {
		t.Errorf("the owner of the hot key keeps load %.0f", l)
	}
}

// Guards against a new target that never gets keys.
func TestNewTargetGetsKeys(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	rows, _ := ranges.Assign(ranges.UnassignedKeyspace(), candidates("a", "b"), &ranges.Load{}, cfg)
	rows, changed := ranges.Rebalance(rows, candidates("a", "b", "c"), &ranges.Load{}, cfg)
	is.True(changed)
	for _, r := range rows {
		if r.Releasing {
			rows, _ = ranges.Release(rows, r, "")
		}
	}
	rows, _ = ranges.Assign(rows, candidates("a", "b", "c"), &ranges.Load{}, cfg)
	is.True(held(rows, &ranges.Load{0: 1, 1023: 1}) != nil)
	n := 0
	for _, r := range rows {
		if r.Holder.Target == "c" {
			n++
		}
	}
	is.True(n > 0)
}

// Guards against moves for balance among targets that have room: a moving key
// is not served for a while.
func TestIdleTargetsDoNotMove(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b", "c")
	rows, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	for i := range cands {
		cands[i].Utilization = 0.3
	}
	_, changed := ranges.Rebalance(rows, cands, &ranges.Load{5: 1000, 6: 10}, cfg)
	is.True(!changed)
}

// Guards against equal shares for targets of different speed.
func TestSharesFollowCapacity(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b")
	cands[0].Capacity, cands[1].Capacity = 30, 10
	rows, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	n := map[string]int{}
	for _, r := range rows {
		n[r.Holder.Target]++
	}
	is.Equal(n["a"], 3*n["b"])
}

// Guards against a release that is counted for a later life of the row.
func TestStaleRelease(t *testing.T) {
	is := is.New(t)
	rows := []ranges.Range{{From: 0, To: ranges.LastKey, Holder: holder("a"), Fence: 4, Releasing: true}}
	old := rows[0]
	old.Fence = 3
	_, changed := ranges.Release(rows, old, "x")
	is.True(!changed)
	_, changed = ranges.Release(rows, rows[0], "x")
	is.True(changed)
}
