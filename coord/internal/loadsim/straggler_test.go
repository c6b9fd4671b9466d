package loadsim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
)

// stragglers returns slow phases at ten times the service time for 200 ms to
// 2 s: one phase begins every three seconds, at the given number of targets at once.
func stragglers(f figures, atOnce int, length time.Duration) func(int) []slowPhase {
	random := rand.New(rand.NewPCG(77, uint64(atOnce)))
	phases := make([][]slowPhase, f.targets)
	for from := 3 * time.Second; from < length; from += 3 * time.Second {
		for _, t := range random.Perm(f.targets)[:atOnce] {
			long := 200*time.Millisecond + time.Duration(random.Int64N(int64(1800*time.Millisecond)))
			phases[t] = append(phases[t], slowPhase{from, from + long, 10})
		}
	}
	return func(i int) []slowPhase { return phases[i] }
}

// measureAll adds the policies and the length that docs/measurements.md lists.
var measureAll = flag.Bool("loadsim.all", false, "measure all policies for 60 s instead of three for 15 s")

var stragglerSeed = flag.Uint64("loadsim.seed", 1, "seed of the straggler runs")

type policy struct {
	name string
	// always policies run without the flag as well.
	always   bool
	selector func(string, *rand.Rand) balancer.Selector
	// baselines run with gates of a fixed limit, because a gate that lowers its
	// limit makes a policy without a view of refusals worse.
	fixedGates, hedging bool
}

var policies = []policy{
	{"round robin", true, baseline(balancer.RoundRobin), true, false},
	{"least in flight", true, baseline(balancer.LeastInFlight), true, false},
	{"least reported", false, baseline(balancer.LeastReported), true, false},
	{"two choices", false, baseline(balancer.TwoChoices), true, false},
	{"two choices, reported", false, baseline(balancer.TwoChoicesReported), true, false},
	{"shipped, no hedging", false, shipped, false, false},
	{"shipped", true, shipped, false, true},
}

// TestStragglers guards against tail latency and load caused by slow targets:
// the 99th percentile stays within 1.5 times that without stragglers, extra
// requests within 5%, and no payment runs twice.
func TestStragglers(t *testing.T) {
	cases := []struct {
		figures
		atOnce  int
		reports reports
		skew    float64
	}{
		{muscat3, 1, exact, 0}, {muscat4, 1, exact, 0}, {muscat4, 2, exact, 0}, {cascadia, 1, exact, 0}, {cascadia, 2, exact, 0},
		{muscat4, 1, late, 0}, {cascadia, 1, lying, 0}, {muscat4, 1, exact, 0.6}, {cascadia, 1, exact, 0.6},
	}
	length, seed := 15*time.Second, *stragglerSeed
	if *measureAll {
		length = 60 * time.Second
	}
	for _, c := range cases {
		name := fmt.Sprintf("%s, %d at once, %s reports, skew %.1f", c.name, c.atOnce, c.reports, c.skew)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := scenario{figures: c.figures, load: 0.4, paymentShare: 0.2, length: length, skip: 2 * time.Second, reports: c.reports, skew: c.skew, seed: seed}
			for _, p := range policies {
				if !p.always && !*measureAll {
					continue
				}
				s.selector, s.noRamp, s.hedging = p.selector, p.fixedGates, p.hedging
				s.phases = nil
				calm := run(s).result
				s.phases = stragglers(c.figures, c.atOnce, length)
				r := run(s).result
				all, quiet := r.all(), calm.all()
				t.Logf("| %s | %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.1f | %.2f | %.2f | %.3f |", name, p.name,
					ms(percentile(quiet, 99)), ms(percentile(quiet, 99.9)), ms(percentile(all, 99)), ms(percentile(all, 99.9)), ratio(all, quiet),
					ms(percentile(r.latency[1], 99)), ratio(r.latency[1], calm.latency[1]), 100*r.extraShare(), 100*r.failedShare())
				if p.name == "shipped" {
					is.True(ratio(r.all(), calm.all()) <= 1.5)           // 99th percentile against the calm run
					is.True(ratio(r.latency[1], calm.latency[1]) <= 1.5) // the same for payments
					is.True(r.extraShare() <= 0.05)                      // extra requests
					is.Equal(r.repeated, 0)                              // payments that ran twice
				}
			}
		})
	}
}

func ratio(a, b []time.Duration) float64 {
	return float64(percentile(a, 99)) / float64(percentile(b, 99))
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }
