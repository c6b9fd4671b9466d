package slopes

import (
	"slices"
	"testing"
)

// allSlopes lists every measurement of this package.
func allSlopes() []slope {
	work := slope{name: "reference/work", prepare: func(testing.TB) (func(), map[string]float64) { return reference, nil }}
	return slices.Concat([]slope{work}, renewSlopes(), decideSlope(), leaderSlopes(), lookupSlopes(), applySlopes(), lossSlopes(), documentSlopes(),
		stateSlopes(), memorySlopes(), recordSlopes(), connectionSlopes(), rpcSlopes())
}

// BenchmarkSlopes prints one line for each slope.
func BenchmarkSlopes(b *testing.B) {
	for _, s := range allSlopes() {
		b.Run(s.name, s.bench)
	}
}
