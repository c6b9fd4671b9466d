package loadsim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullRate is the number of requests per second that warm targets serve.
func (d deployment) fullRate() float64 { return float64(d.targets*d.slots) / meanServiceTime.Seconds() }

// servedRatio is the ratio of the rate of answers in one second to the full rate.
func (c *cluster) servedRatio(second int) float64 {
	return float64(c.result.answered[second]) / c.fullRate()
}

func (c *cluster) logSeconds(t *testing.T, name string) {
	for second := range int(c.length/time.Second) - int(timeout/time.Second) {
		from := time.Duration(second) * time.Second
		t.Logf("%s second %2d: served %3.0f%% of full rate, browse %3.0f%%, payments %3.0f%% of offered", name, second, 100*c.servedRatio(second),
			100*c.result.servedFraction(0, from, from+time.Second), 100*c.result.servedFraction(1, from, from+time.Second))
	}
}

// TestColdStart guards against the collapse of a service whose targets are all
// cold under twice the full load. With the ramp, the rate of answers rises steadily
// to the full rate and payments are refused last; without it the targets collapse.
func TestColdStart(t *testing.T) {
	for _, f := range []deployment{muscat3, muscat4, cascadia} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const length = 16 * time.Second
			s := scenario{deployment: f, load: 2, paymentShare: 0.3, length: length, cold: true, selector: newBalancer, hedging: true, seed: 2}
			c := run(s)
			c.logSeconds(t, f.name+", ramp")
			s.noRamp = true
			without := run(s)
			without.logSeconds(t, f.name+", no ramp")

			last := int(length/time.Second) - int(timeout/time.Second) - 1
			for second := 1; second <= last; second++ {
				// A decrease of 0.05 is allowed, because arrivals and service times are
				// random.
				is.True(c.servedRatio(second) >= c.servedRatio(second-1)-0.05)
			}
			// The capacity exceeds the rate of payments from one moment on. In the
			// interval of that moment, payments may be refused and browse requests
			// served.
			mixed := 0
			for from := time.Duration(0); from < s.length-timeout; from += countInterval {
				if c.result.servedFraction(1, from, from+countInterval) < 0.99 && c.result.servedFraction(0, from, from+countInterval) > 0.01 {
					mixed++
				}
			}
			is.True(mixed <= 1)                       // payments are refused only while no browse request is served
			is.True(c.servedRatio(last) >= 0.95)      // the full rate is reached
			is.True(without.servedRatio(last) <= 0.5) // without a ramp the targets collapse
		})
	}
}

// TestColdWithoutNotice guards against the collapse of a target that becomes cold
// under load without a new incarnation, so that the gate can detect it only by its
// service times.
func TestColdWithoutNotice(t *testing.T) {
	for _, f := range []deployment{muscat4, cascadia} {
		for _, load := range []float64{0.6, 1.2} {
			t.Run(f.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				const coldAt = 10 * time.Second
				s := scenario{deployment: f, load: load, paymentShare: 0.3, length: 30 * time.Second, cold: true, selector: newBalancer, hedging: true, seed: 3}
				s.prepare = func(c *cluster) {
					for _, g := range c.gateList {
						g.target.warmth = 1
					}
					c.loop.after(coldAt, c.gateList[0].target.turnCold)
				}
				c := run(s)
				c.logSeconds(t, f.name+", ramp")
				status := c.gateList[0].limiter.Status(c.loop.reading())
				t.Logf("load %.1f: cold restarts %d, reductions %d, ramp %.2f, warmth %.2f", load, status.ColdRestarts, status.Reductions, status.RampShare, c.gateList[0].target.warmth)
				s.noRamp = true
				without := run(s)
				t.Logf("load %.1f, no ramp: warmth %.2f", load, without.gateList[0].target.warmth)

				is.True(status.ColdRestarts >= 1)            // the cold target was detected
				is.True(c.gateList[0].target.warmth >= 0.99) // it became warm under load
				// Second 27 is the last one all of whose requests have ended: 30 s less the
				// timeout.
				is.True(c.servedRatio(27) >= min(load, 1)*.95) // its capacity is available again
				if load > 1 {
					is.True(without.gateList[0].target.warmth < 0.5) // without the ramp it stays cold
				}
			})
		}
	}
}
