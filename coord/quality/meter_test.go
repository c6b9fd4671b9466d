package quality_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quality"
)

// run records responses every interval from start to end, of which share are bad, and
// returns the mean weight of the last half of the time.
func run(m *quality.Meter, start, end, interval time.Duration, share float64) float64 {
	random := rand.New(rand.NewPCG(1, uint64(start)))
	sum, n := 0, 0
	for at := start; at < end; at += interval {
		o := quality.Good
		if random.Float64() < share {
			o = quality.Failed
		}
		m.Record(clock.At(at), o)
		if at > (start+end)/2 {
			sum, n = sum+m.Weight(), n+1
		}
	}
	return float64(sum) / float64(n)
}

// TestWeight guards against weights that do not follow the stated shares: half of the
// work at one bad response in ten, the least at one in two, and all of it at the rare
// failures of a healthy target. The weight must rise again within some seconds.
func TestWeight(t *testing.T) {
	for _, c := range []struct{ share, min, max float64 }{{0, 8, 8}, {0.005, 7.5, 8}, {0.1, 3, 6}, {0.5, 1, 2}, {1, 1, 1}} {
		t.Run(fmt.Sprint(c.share), func(t *testing.T) {
			is := is.New(t)
			m := quality.NewMeter(quality.DefaultConfig())
			mean := run(m, 0, 60*time.Second, 30*time.Millisecond, c.share)
			t.Logf("mean weight %.2f", mean)
			is.True(mean >= c.min && mean <= c.max)
			for _, interval := range []time.Duration{30 * time.Millisecond, 2 * time.Second} {
				run(m, 100*time.Second, 120*time.Second, interval, 1)
				run(m, 120*time.Second, 132*time.Second, interval, 0)
				is.Equal(m.Weight(), quality.Full)
			}
		})
	}
}

// TestAlternation guards against a weight that follows a target which is good and dead
// in turns: it must be at most half at the end of each good spell of 1.4 s, and change
// at most twice in each spell. The published weight must only fall, until it is good.
func TestAlternation(t *testing.T) {
	is := is.New(t)
	m := quality.NewMeter(quality.DefaultConfig())
	changes, published, last := 0, 0, quality.Full
	for at := time.Duration(0); at < 14*time.Second; at += 30 * time.Millisecond {
		o := quality.Good
		if at/(1400*time.Millisecond)%2 == 0 {
			o = quality.Rejected
		}
		if m.Record(clock.At(at), o) {
			changes++
		}
		if w := m.Published(clock.At(at)); w != last {
			published, last = published+1, w
		}
	}
	is.True(m.Weight() <= 4)
	is.True(changes <= 2*10)
	is.True(published <= 2)
	run(m, 14*time.Second, 24*time.Second, 30*time.Millisecond, 0)
	m.Published(clock.At(18 * time.Second))
	is.Equal(m.Published(clock.At(24*time.Second)), quality.Full)
}
