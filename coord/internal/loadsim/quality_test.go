package loadsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/quality"
)

// badFrom and badTo bound the spell in which a third of the targets is bad; requests
// count in it.
const badFrom, badTo = 6 * time.Second, 12500 * time.Millisecond

var qualityFaults = map[string]func(*fleetGate){
	"healthy":      func(*fleetGate) {},
	"rejects 0.55": func(g *fleetGate) { g.fault = always(0.55, quality.Rejected) },
	"500 to 0.45":  func(g *fleetGate) { g.fault = always(0.45, quality.Failed) },
	"500 to 0.10":  func(g *fleetGate) { g.fault = always(0.10, quality.Failed) },
	// A dead target answers every request with 500 at once.
	"dead every 1.4 s": func(g *fleetGate) {
		g.fault = func(at time.Duration, _ float64) quality.Outcome {
			return []quality.Outcome{quality.Good, quality.Failed}[(at-badFrom)/(1400*time.Millisecond)%2]
		}
	},
	"5 times slower": func(g *fleetGate) { g.target.phases = []slowPhase{{badFrom, badTo, 5}} },
}

func always(share float64, outcome quality.Outcome) func(time.Duration, float64) quality.Outcome {
	return func(_ time.Duration, random float64) quality.Outcome {
		if random < share {
			return outcome
		}
		return quality.Good
	}
}

// runFault returns the result of a run in which three of the nine targets are bad.
func runFault(weights bool, load float64, speeds []float64, fault func(*fleetGate)) *fleetSim {
	s := newFleetSim(weights, load, speeds, badTo)
	s.skip = badFrom
	for _, i := range []int{0, 4, 8} {
		fault(s.gates[i])
	}
	s.run(badTo)
	return s
}

// TestQuality guards against targets that reject or fail requests of their own and get
// as many as others: while the others have room, fewer requests may need a second try.
// Near the capacity of all targets no more may fail than without weights. A target
// that only is slower, or noisy, must not lose weight, and the picks stay the same.
func TestQuality(t *testing.T) {
	for name, fault := range qualityFaults {
		for _, load := range []float64{0.3, 0.75} {
			t.Run(fmt.Sprint(name, ", load ", load), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var repeated, failed [2]int
				for _, speeds := range [][]float64{{1}, {0.6, 1, 1.4}, {0.7, 0.7, 1.6}} {
					without, with := runFault(false, load, speeds, fault), runFault(true, load, speeds, fault)
					for i, s := range []*fleetSim{without, with} {
						// Columns: requests that needed a second try or failed, and that failed, in
						// percent; 50th and 99th percentile of the latency in ms.
						t.Logf("| %s | %v | %v | %.2f | weights %v | %.2f | %.2f | %.0f | %.0f |", name, *stragglerSeed, speeds, load, s.weights, 100*float64(s.repeated)/float64(s.total),
							100*float64(s.failed)/float64(s.total), milliseconds(percentile(s.latency, 50)), milliseconds(percentile(s.latency, 99)))
						repeated[i], failed[i] = repeated[i]+s.repeated, failed[i]+s.failed
					}
					if name == "healthy" || name == "5 times slower" {
						is.Equal(with.lowered, 0)
						is.Equal(with.latency, without.latency) // the same picks
					}
				}
				// Near the capacity of all, a target that alternates faster than its weight rises
				// loses as much as it gains.
				is.True(failed[1] <= failed[0] || name == "dead every 1.4 s" && load > 0.5)
				if load < 0.5 {
					is.True(3*repeated[1] <= 2*repeated[0])
				}
			})
		}
	}
}
