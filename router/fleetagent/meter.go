package fleetagent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
)

const (
	// meterInterval is the time over which requests are counted.
	meterInterval = time.Second
	// meterShare is the weight of the newest count.
	meterShare = 0.4
	// meterBuckets bounds the buckets in a report; the busiest decide.
	meterBuckets = 48
	// meterFloor is the rate per second below which a bucket is idle.
	meterFloor = 0.05
)

// meter measures the request rate of each bucket of keys.
type meter struct {
	mu     sync.Mutex
	counts [ranges.NumBuckets]uint32
	rates  [ranges.NumBuckets]float64
	since  time.Duration
}

func newMeter() *meter { return &meter{} }

func (m *meter) count(key uint16) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[ranges.Bucket(key)]++
}

// report returns the busiest buckets once per interval, nil in between.
func (m *meter) report(now time.Duration) []fleet.BucketRate {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now - m.since
	if elapsed < meterInterval {
		return nil
	}
	m.since = now
	out := []fleet.BucketRate{}
	for b := range m.counts {
		rate := float64(m.counts[b]) / elapsed.Seconds()
		m.counts[b] = 0
		m.rates[b] += meterShare * (rate - m.rates[b])
		if m.rates[b] > meterFloor {
			out = append(out, fleet.BucketRate{Bucket: b, Rate: m.rates[b]})
		}
	}
	slices.SortFunc(out, func(a, b fleet.BucketRate) int { return cmp.Compare(b.Rate, a.Rate) })
	return out[:min(len(out), meterBuckets)]
}
