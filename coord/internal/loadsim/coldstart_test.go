package loadsim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullRate is the number of requests per second that warm targets serve.
func (f figures) fullRate() float64 { return float64(f.targets*f.slots) / meanService.Seconds() }

// servedShare is the rate of answers in one second over the full rate.
func (c *cluster) servedShare(second int) float64 {
	return float64(c.result.answered[second]) / c.fullRate()
}

func (c *cluster) logSeconds(t *testing.T, name string) {
	for second := range int(c.length/time.Second) - int(timeout/time.Second) {
		from := time.Duration(second) * time.Second
		t.Logf("%s second %2d: served %3.0f%% of full rate, browse %3.0f%%, payments %3.0f%% of offered", name, second, 100*c.servedShare(second),
			100*c.result.share(0, from, from+time.Second), 100*c.result.share(1, from, from+time.Second))
	}
}

// TestColdStart guards against the collapse of a service whose targets are all
// cold under twice the full load: served work rises steadily to the full rate,
// payments are shed last, and the same targets without a ramp collapse.
func TestColdStart(t *testing.T) {
	for _, f := range []figures{muscat3, muscat4, cascadia} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const length = 16 * time.Second
			s := scenario{figures: f, load: 2, paymentShare: 0.3, length: length, cold: true, selector: shipped, hedging: true, seed: 2}
			c := run(s)
			c.logSeconds(t, f.name+", ramp")
			s.noRamp = true
			without := run(s)
			without.logSeconds(t, f.name+", no ramp")

			last := int(length/time.Second) - int(timeout/time.Second) - 1
			for second := 1; second <= last; second++ {
				// A steady rise allows for the spread of arrivals and service times.
				is.True(c.servedShare(second) >= c.servedShare(second-1)-0.05)
			}
			// The capacity passes the rate of payments once. The window in which it
			// does may have refused payments and served browse requests.
			mixed := 0
			for from := time.Duration(0); from < s.length-timeout; from += window {
				if c.result.share(1, from, from+window) < 0.99 && c.result.share(0, from, from+window) > 0.01 {
					mixed++
				}
			}
			is.True(mixed <= 1)                       // payments are refused only while no browse request is served
			is.True(c.servedShare(last) >= 0.95)      // the full rate is reached
			is.True(without.servedShare(last) <= 0.5) // without a ramp the targets collapse
		})
	}
}

// TestColdWithoutNotice guards against the collapse of a target that turns cold
// while it runs under load, of which the gate learns only by its service time.
func TestColdWithoutNotice(t *testing.T) {
	for _, f := range []figures{muscat4, cascadia} {
		for _, load := range []float64{0.6, 1.2} {
			t.Run(f.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				const coldAt = 10 * time.Second
				s := scenario{figures: f, load: load, paymentShare: 0.3, length: 30 * time.Second, cold: true, selector: shipped, hedging: true, seed: 3}
				s.prepare = func(c *cluster) {
					for _, g := range c.order {
						g.target.warmth = 1
					}
					c.loop.after(coldAt, c.order[0].target.turnCold)
				}
				c := run(s)
				c.logSeconds(t, f.name+", ramp")
				status := c.order[0].limiter.Status(c.loop.reading())
				t.Logf("load %.1f: cold restarts %d, reductions %d, ramp %.2f, warmth %.2f", load, status.ColdRestarts, status.Reductions, status.RampShare, c.order[0].target.warmth)
				s.noRamp = true
				without := run(s)
				t.Logf("load %.1f, no ramp: warmth %.2f", load, without.order[0].target.warmth)

				is.True(status.ColdRestarts >= 1)              // the cold target was noticed
				is.True(c.order[0].target.warmth >= 0.99)      // and became warm under load
				is.True(c.servedShare(27) >= min(load, 1)*.95) // and its capacity came back
				if load > 1 {
					is.True(without.order[0].target.warmth < 0.5) // without the ramp it stays cold
				}
			})
		}
	}
}
