package slopes

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slope is one measured operation at one size.
type slope struct {
	name string
	// prepare returns the operation and the sizes that it works on, by unit.
	prepare func(tb testing.TB) (op func(), sizes map[string]float64)
	// consumesInput means that the operation changes its input, so that each run needs
	// a new one.
	consumesInput bool
}

// bench measures the slope as a Go benchmark.
func (s *slope) bench(b *testing.B) {
	op, sizes := s.prepare(b)
	if op == nil {
		op = func() {}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if s.consumesInput && i > 0 {
			b.StopTimer()
			op, _ = s.prepare(b)
			b.StartTimer()
		}
		op()
	}
	b.StopTimer()
	for unit, v := range sizes {
		b.ReportMetric(v, unit)
	}
}

const (
	// runTime is the time of one run of a short operation.
	runTime = 5 * time.Millisecond
	// maxRuns bounds the tries to meet a time on a busy machine.
	maxRuns = 30
)

// measurements are the figures of a slope by unit.
type measurements map[string]float64

// measure returns sizes, allocations, the best time of several runs, and the
// best time of the reference between these runs. It stops at the first run
// that needs at most ns; 0 leaves one run.
func (s *slope) measure(tb testing.TB, ns float64) measurements {
	op, sizes := s.prepare(tb)
	out := measurements{}
	defer func() { maps.Copy(out, sizes) }() // the operation may add sizes
	out.keepLowest(referenceUnit, nanosPerOp(reference))
	if op == nil {
		return out
	}
	if !s.consumesInput {
		out["allocs/op"] = testing.AllocsPerRun(3, op)
	}
	for try := range maxRuns {
		if s.consumesInput && try > 0 {
			op, _ = s.prepare(tb)
		}
		if s.consumesInput {
			start := time.Now()
			op()
			out.keepLowest("ns/op", float64(time.Since(start).Nanoseconds()))
		} else {
			out.keepLowest("ns/op", nanosPerOp(op))
		}
		if ns == 0 || out["ns/op"] <= ns {
			break
		}
		out.keepLowest(referenceUnit, nanosPerOp(reference))
	}
	return out
}

// keepLowest keeps the lowest value.
func (v measurements) keepLowest(unit string, ns float64) {
	if old, ok := v[unit]; !ok || ns < old {
		v[unit] = ns
	}
}

// nanosPerOp returns the nanoseconds of one op in a run.
func nanosPerOp(op func()) float64 {
	n, start := 0, time.Now()
	for n == 0 || time.Since(start) < runTime {
		op()
		n++
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

// referenceUnit is the time of the reference in values and on the page.
const referenceUnit = "reference ns"

// reference is work that no change of this repository makes slower: it sorts,
// fills a map and encodes. Its time tells how much slower the machine is now
// than when the page was written, because of other processes or another type.
func reference() {
	rng := rand.New(rand.NewPCG(1, 2))
	list := make([]uint64, 2_000)
	index := make(map[uint64]int, len(list))
	for i := range list {
		list[i] = rng.Uint64()
		index[list[i]] = i
	}
	slices.Sort(list)
	if data, err := json.Marshal(list); err != nil || len(data) < len(index) {
		panic("the list cannot be encoded")
	}
}
