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
	// prepare returns the operation, which may be nil, and measured sizes by unit. The
	// operation may add sizes.
	prepare func(tb testing.TB) (op func(), sizes map[string]float64)
	// consumesInput means that the operation changes its input, so that prepare must
	// be called before each run.
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
	// runTime is how long a run repeats a short operation.
	runTime = 5 * time.Millisecond
	// maxRuns bounds the runs until one reaches the expected time on a busy machine.
	maxRuns = 30
)

// measurements are the measured values of a slope by unit.
type measurements map[string]float64

// measure returns the sizes, the allocations, the shortest time of several runs, and
// the shortest time of the reference work between these runs. It stops after the
// first run that takes at most maxNsPerOp; with 0 it makes one run. Without an
// operation there are only the sizes and the reference time. Operations that consume
// their input report no allocations.
func (s *slope) measure(tb testing.TB, maxNsPerOp float64) measurements {
	op, sizes := s.prepare(tb)
	out := measurements{}
	defer func() { maps.Copy(out, sizes) }() // after the operation, which may add sizes
	out.keepLowest(referenceUnit, nanosPerOp(reference))
	if op == nil {
		return out
	}
	if !s.consumesInput {
		out["allocs/op"] = testing.AllocsPerRun(3, op)
	}
	for run := range maxRuns {
		if s.consumesInput && run > 0 {
			op, _ = s.prepare(tb)
		}
		if s.consumesInput {
			start := time.Now()
			op()
			out.keepLowest("ns/op", float64(time.Since(start).Nanoseconds()))
		} else {
			out.keepLowest("ns/op", nanosPerOp(op))
		}
		if maxNsPerOp == 0 || out["ns/op"] <= maxNsPerOp {
			break
		}
		out.keepLowest(referenceUnit, nanosPerOp(reference))
	}
	return out
}

// keepLowest stores ns unless the unit already has a lower value.
func (v measurements) keepLowest(unit string, ns float64) {
	if lowest, ok := v[unit]; !ok || ns < lowest {
		v[unit] = ns
	}
}

// nanosPerOp repeats op for runTime and returns the mean time of one call in
// nanoseconds.
func nanosPerOp(op func()) float64 {
	n, start := 0, time.Now()
	for n == 0 || time.Since(start) < runTime {
		op()
		n++
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

// referenceUnit is the unit of the reference work's time in measurements.
const referenceUnit = "reference ns"

// reference is work that does not depend on the code of this repository: it sorts a
// list, fills a map and encodes JSON. Its time shows how much slower the machine is
// than the one for the page, because of other processes or other hardware.
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
