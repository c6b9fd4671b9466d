package slopes

import (
	"slices"
	"testing"
)

// allSlopes returns every slope of this package.
func allSlopes() []slope {
	work := slope{name: "reference/work", prepare: func(testing.TB) (func(), map[string]float64) { return reference, nil }}
	return slices.Concat([]slope{work}, renewSlopes(), decideSlope(), leaderSlopes(), lookupSlopes(), applySlopes(), lossSlopes(), documentSlopes(),
		stateSlopes(), memorySlopes(), recordSlopes(), connectionSlopes(), rpcSlopes())
}

// BenchmarkSlopes runs each slope as a benchmark.
func BenchmarkSlopes(b *testing.B) {
	for _, s := range allSlopes() {
		b.Run(s.name, s.bench)
	}
}
