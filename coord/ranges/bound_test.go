package ranges_test

import (
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/ranges"
)

// settle gives back what is asked for and assigns it again.
func settle(rows []ranges.Range, cands []ranges.Candidate, load *ranges.Load, cfg ranges.Config) []ranges.Range {
	for _, r := range rows {
		if r.Releasing {
			rows, _ = ranges.Release(rows, r, "0123456789abcdef")
		}
	}
	rows, _ = ranges.Assign(rows, cands, load, cfg)
	return rows
}

func mostRows(rows []ranges.Range) int {
	n, most := map[string]int{}, 0
	for _, r := range rows {
		if !r.Holder.IsZero() {
			n[r.Holder.Target]++
			most = max(most, n[r.Holder.Target])
		}
	}
	return most
}

// Guards against a holder with more rows than a grant names: busy keys that
// move for a long time split rows again and again, and then all holders but
// one are lost.
func TestRangesOfOneHolderAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	cands := candidates("a", "b", "c")
	rows, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	for round := range 600 {
		var load ranges.Load
		for i := range 12 {
			load[(round*37+i*5)%ranges.NumBuckets] = 100
		}
		if next, changed := ranges.Rebalance(rows, cands, &load, cfg); changed {
			rows = settle(next, cands, &load, cfg)
		}
	}
	is.True(ranges.Covers(rows))
	if n := mostRows(rows); n > 140 {
		t.Errorf("one holder has %d rows", n)
	}
	rows, _ = ranges.ReclaimLost(rows, func(h ranges.Holder) bool { return h.Target != "a" })
	rows, _ = ranges.Assign(rows, cands[:1], &ranges.Load{}, cfg)
	is.True(ranges.Covers(rows))
	for _, r := range rows {
		is.Equal(r.Holder.Target, "a")
	}
	if n := mostRows(rows); n > 140 {
		t.Errorf("the last holder has %d rows", n)
	}
}

// Guards against keys that stay without a holder, and against a grant that is
// too long, once most holders of a large key space are lost.
func TestFewHoldersAreLeftOfMany(t *testing.T) {
	is := is.New(t)
	cfg := ranges.DefaultConfig()
	var names []string
	for i := range 40 {
		names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	cands := candidates(names...)
	rows, _ := ranges.Assign(ranges.UnassignedKeyspace(), cands, &ranges.Load{}, cfg)
	is.Equal(len(rows), 320)
	rows, _ = ranges.ReclaimLost(rows, func(h ranges.Holder) bool { return h.Target != "aa" })
	rows, _ = ranges.Assign(rows, cands[:1], &ranges.Load{}, cfg)
	is.True(ranges.Covers(rows))
	for _, r := range rows {
		is.Equal(r.Holder.Target, "aa")
	}
	is.True(mostRows(rows) <= 140)
}
