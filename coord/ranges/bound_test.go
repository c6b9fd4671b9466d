package ranges_test

import (
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/ranges"
)

// completeMoves releases the ranges whose release is requested and assigns them
// again.
func completeMoves(keyRanges []ranges.Range, cands []ranges.Candidate, load *ranges.Load, cfg ranges.Config) []ranges.Range {
	for _, r := range keyRanges {
		if r.Releasing {
			keyRanges, _ = ranges.Release(keyRanges, r, "0123456789abcdef")
		}
	}
	keyRanges, _ = ranges.Assign(keyRanges, cands, load, cfg)
	return keyRanges
}

func maxRangesOfOneHolder(keyRanges []ranges.Range) int {
	count, most := map[string]int{}, 0
	for _, r := range keyRanges {
		if !r.Holder.IsZero() {
			count[r.Holder.Target]++
			most = max(most, count[r.Holder.Target])
		}
	}
	return most
}

// Guards against a holder with more ranges than fit into a grant. Busy keys that
// change for a long time cause many splits; then all holders but one are lost.
func TestRangesOfOneHolderAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b", "c")
	keyRanges, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	for round := range 600 {
		var load ranges.Load
		for i := range 12 {
			load[(round*37+i*5)%ranges.NumBuckets] = 100
		}
		if next, changed := ranges.Rebalance(keyRanges, cands, &load, cfg); changed {
			keyRanges = completeMoves(next, cands, &load, cfg)
		}
	}
	is.True(ranges.Covers(keyRanges))
	// 140 is DefaultConfig().MaxRanges.
	if n := maxRangesOfOneHolder(keyRanges); n > 140 {
		t.Errorf("one holder has %d ranges", n)
	}
	keyRanges, _ = ranges.ReclaimLost(keyRanges, func(h ranges.Holder) bool { return h.Target != "a" })
	keyRanges, _ = ranges.Assign(keyRanges, cands[:1], &ranges.Load{}, cfg)
	is.True(ranges.Covers(keyRanges))
	for _, r := range keyRanges {
		is.Equal(r.Holder.Target, "a")
	}
	if n := maxRangesOfOneHolder(keyRanges); n > 140 {
		t.Errorf("the last holder has %d ranges", n)
	}
}

// Guards against keys that stay without a holder, and against a grant that is too
// large, after all holders of a large key space but one are lost.
func TestOneHolderIsLeftOfMany(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	var names []string
	for i := range 40 {
		names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	cands := candidates(names...)
	keyRanges, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	is.Equal(len(keyRanges), 320)
	keyRanges, _ = ranges.ReclaimLost(keyRanges, func(h ranges.Holder) bool { return h.Target != "aa" })
	keyRanges, _ = ranges.Assign(keyRanges, cands[:1], &ranges.Load{}, cfg)
	is.True(ranges.Covers(keyRanges))
	for _, r := range keyRanges {
		is.Equal(r.Holder.Target, "aa")
	}
	is.True(maxRangesOfOneHolder(keyRanges) <= 140)
}
