package loadsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/table"
)

// noisePhases returns short phases with up to twice the service time for every
// target, about a fifth of the time. Targets must not be suspected for them.
func noisePhases(targets int, length time.Duration) func(int) []slowPhase {
	random := rand.New(rand.NewPCG(78, 0))
	phases := make([][]slowPhase, targets)
	for t := range phases {
		for at := time.Duration(0); at < length; {
			at += time.Duration(random.ExpFloat64() * 1e9)
			duration := 50*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond)))
			phases[t] = append(phases[t], slowPhase{at, at + duration, 1 + random.Float64()})
			at += duration
		}
	}
	return func(i int) []slowPhase { return phases[i] }
}

// suspicionSampler samples the targets that each ingress suspects, every 10 ms.
type suspicionSampler struct {
	samples, suspected int
	byTarget           map[table.MemberID]int
	// reinstated counts, for each target and over all ingresses, how often it was
	// no longer suspected.
	reinstated map[table.MemberID]int
	last       map[*ingress][]balancer.Suspect
}

func (p *suspicionSampler) prepare(c *cluster) {
	p.byTarget, p.reinstated, p.last = map[table.MemberID]int{}, map[table.MemberID]int{}, map[*ingress][]balancer.Suspect{}
	var sample func()
	sample = func() {
		for _, in := range c.ingress {
			suspects := in.selector.(*balancer.Balancer).Suspects(c.loop.reading())
			p.samples += len(c.gateList)
			p.suspected += len(suspects)
			for _, s := range suspects {
				p.byTarget[s.ID]++
			}
			for _, old := range p.last[in] {
				if !slices.ContainsFunc(suspects, func(s balancer.Suspect) bool { return s.ID == old.ID }) {
					p.reinstated[old.ID]++
				}
			}
			p.last[in] = suspects
		}
		c.loop.after(10*time.Millisecond, sample)
	}
	sample()
}

// counters returns the sum of the balancers' counters.
func (c *cluster) counters() (sum balancer.Counters) {
	for _, in := range c.ingress {
		n := in.selector.(*balancer.Balancer).Counters()
		sum.Suspected += n.Suspected
		sum.Reinstated += n.Reinstated
		sum.Probes += n.Probes
	}
	return sum
}

// TestLongRun guards against oscillation of suspicions under a load that varies
// by 60% around its mean of 50%, or 35% with a target that is slow throughout.
// An ingress may suspect a target that is only noisy at most once a minute on
// average and for at most 1% of the time. It must suspect the slow target for
// at least 95% of the time, and may reinstate it at most twice a minute.
func TestLongRun(t *testing.T) {
	for _, f := range []deployment{muscat4, cascadia} {
		for _, straggler := range []bool{false, true} {
			t.Run(f.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				const length = 60 * time.Second
				var sampler suspicionSampler
				s := scenario{deployment: f, load: 0.5, paymentShare: 0.2, length: length, selector: newBalancer, hedging: true, seed: 4, prepare: sampler.prepare}
				s.loadFactor = func(at time.Duration) float64 { return 1 + 0.6*math.Sin(2*math.Pi*at.Seconds()/7) }
				s.phases = noisePhases(f.targets, length)
				if straggler {
					s.load = 0.35
					others := s.phases
					s.phases = func(i int) []slowPhase {
						if i == 0 {
							return []slowPhase{{5 * time.Second, length, 10}}
						}
						return others(i)
					}
				}
				c := run(s)
				n := c.counters()
				t.Logf("%s, straggler %v: suspected %d, returned %d, probes %d of %d requests, %.2f%% of the time, by target %v, returned %v, p99 %.1f ms",
					f.name, straggler, n.Suspected, n.Reinstated, n.Probes, c.result.total, 100*float64(sampler.suspected)/float64(sampler.samples), sampler.byTarget, sampler.reinstated, milliseconds(percentile(c.result.all(), 99)))
				if straggler {
					slow := c.gateList[0].id
					is.True(float64(sampler.reinstated[slow]) <= 2*float64(f.targets)*length.Minutes()) // reinstatements of the slow target
					is.True(float64(sampler.byTarget[slow]) >= 0.95*float64(f.targets)*55*100)          // time under suspicion
					return
				}
				is.True(float64(n.Suspected) <= float64(f.targets*f.targets)*length.Minutes()) // wrong suspicions
				is.True(float64(sampler.suspected) <= 0.01*float64(sampler.samples))           // time under suspicion
			})
		}
	}
}
