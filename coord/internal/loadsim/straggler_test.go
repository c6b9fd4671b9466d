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

// stragglerPhases returns slow phases with ten times the service time. Every three
// seconds, a phase of 200 ms to 2 s starts at as many random targets as atOnce.
func stragglerPhases(f deployment, atOnce int, length time.Duration) func(int) []slowPhase {
	random := rand.New(rand.NewPCG(77, uint64(atOnce)))
	phases := make([][]slowPhase, f.targets)
	for from := 3 * time.Second; from < length; from += 3 * time.Second {
		for _, t := range random.Perm(f.targets)[:atOnce] {
			duration := 200*time.Millisecond + time.Duration(random.Int64N(int64(1800*time.Millisecond)))
			phases[t] = append(phases[t], slowPhase{from, from + duration, 10})
		}
	}
	return func(i int) []slowPhase { return phases[i] }
}

// allPolicies runs all policies for the time that docs/measurements.md lists.
var allPolicies = flag.Bool("loadsim.all", false, "measure all policies for 60 s instead of three for 15 s")

var stragglerSeed = flag.Uint64("loadsim.seed", 1, "seed of the straggler runs")

type policyCase struct {
	name string
	// always is set for policies that also run without the flag.
	always   bool
	selector func(string, *rand.Rand) balancer.Selector
	// fixedGates is set for baselines: they do not take refusals into account, and
	// would be worse with gates that lower their limit.
	fixedGates, hedging bool
}

var policies = []policyCase{
	{"round robin", true, newBaseline(balancer.RoundRobin), true, false},
	{"least in flight", true, newBaseline(balancer.LeastInFlight), true, false},
	{"least reported", false, newBaseline(balancer.LeastReported), true, false},
	{"two choices", false, newBaseline(balancer.TwoChoices), true, false},
	{"two choices, reported", false, newBaseline(balancer.TwoChoicesReported), true, false},
	{"shipped, no hedging", false, newBalancer, false, false},
	{"shipped", true, newBalancer, false, true},
}

// TestStragglers guards against tail latency and extra load caused by slow
// targets: the 99th percentile, of all requests and of payments, is at most 1.5
// times that without stragglers, extra requests are at most 5%, and no payment
// runs twice.
func TestStragglers(t *testing.T) {
	cases := []struct {
		deployment
		atOnce  int
		reports reports
		skew    float64
	}{
		{muscat3, 1, exact, 0}, {muscat4, 1, exact, 0}, {muscat4, 2, exact, 0}, {cascadia, 1, exact, 0}, {cascadia, 2, exact, 0},
		{muscat4, 1, stale, 0}, {cascadia, 1, misleading, 0}, {muscat4, 1, exact, 0.6}, {cascadia, 1, exact, 0.6},
	}
	length, seed := 15*time.Second, *stragglerSeed
	if *allPolicies {
		length = 60 * time.Second
	}
	for _, c := range cases {
		name := fmt.Sprintf("%s, %d at once, %s reports, skew %.1f", c.name, c.atOnce, c.reports, c.skew)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := scenario{deployment: c.deployment, load: 0.4, paymentShare: 0.2, length: length, skip: 2 * time.Second, reports: c.reports, skew: c.skew, seed: seed}
			for _, p := range policies {
				if !p.always && !*allPolicies {
					continue
				}
				s.selector, s.noRamp, s.hedging = p.selector, p.fixedGates, p.hedging
				s.phases = nil
				undisturbed := run(s).result
				s.phases = stragglerPhases(c.deployment, c.atOnce, length)
				r := run(s).result
				all, undisturbedAll := r.all(), undisturbed.all()
				// Columns: case, policy, 99th and 99.9th percentile without stragglers, the
				// same with stragglers, ratio of the 99th, 99th of payments, its ratio,
				// extra and failed requests; latencies in ms, shares in percent.
				t.Logf("| %s | %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.1f | %.2f | %.2f | %.3f |", name, p.name,
					milliseconds(percentile(undisturbedAll, 99)), milliseconds(percentile(undisturbedAll, 99.9)), milliseconds(percentile(all, 99)), milliseconds(percentile(all, 99.9)), p99Ratio(all, undisturbedAll),
					milliseconds(percentile(r.latency[1], 99)), p99Ratio(r.latency[1], undisturbed.latency[1]), 100*r.extraFraction(), 100*r.failedFraction())
				if p.name == "shipped" {
					is.True(p99Ratio(r.all(), undisturbed.all()) <= 1.5)           // 99th percentile against the undisturbed run
					is.True(p99Ratio(r.latency[1], undisturbed.latency[1]) <= 1.5) // the same for payments
					is.True(r.extraFraction() <= 0.05)                             // extra requests
					is.Equal(r.ranTwice, 0)                                        // payments that ran twice
				}
			}
		})
	}
}

func p99Ratio(a, b []time.Duration) float64 {
	return float64(percentile(a, 99)) / float64(percentile(b, 99))
}

func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }
