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
	// rateInterval is the minimum time over which requests are counted.
	rateInterval = time.Second
	// rateSmoothing is the weight of the newest count in the moving average.
	rateSmoothing = 0.4
	// maxReportedBuckets is the largest number of buckets in a report; those
	// with the highest rates are reported.
	maxReportedBuckets = 48
	// minReportedRate is the rate, in requests per second, up to which a bucket
	// counts as idle and is not reported.
	minReportedRate = 0.05
)

// rateMeter measures the request rate of each bucket of keys. It is safe for
// concurrent use.
type rateMeter struct {
	mu     sync.Mutex
	counts [ranges.NumBuckets]uint32
	rates  [ranges.NumBuckets]float64
	// since is the time of the last report. It is zero at first, so the first
	// report divides the counts by the time since the machine was booted.
	since time.Duration
}

func newRateMeter() *rateMeter { return &rateMeter{} }

func (m *rateMeter) count(key uint16) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[ranges.Bucket(key)]++
}

// report returns the buckets with the highest rates, in descending order, with
// the moving averages of their rates in requests per second. It returns nil if
// less than rateInterval has passed since the last report, and an empty list
// if no rate is above minReportedRate. now is a reading of
// timesource.BootTime.
func (m *rateMeter) report(now time.Duration) []fleet.BucketRate {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now - m.since
	if elapsed < rateInterval {
		return nil
	}
	m.since = now
	rates := []fleet.BucketRate{}
	for b := range m.counts {
		rate := float64(m.counts[b]) / elapsed.Seconds()
		m.counts[b] = 0
		m.rates[b] += rateSmoothing * (rate - m.rates[b])
		if m.rates[b] > minReportedRate {
			rates = append(rates, fleet.BucketRate{Bucket: b, Rate: m.rates[b]})
		}
	}
	slices.SortFunc(rates, func(a, b fleet.BucketRate) int { return cmp.Compare(b.Rate, a.Rate) })
	return rates[:min(len(rates), maxReportedBuckets)]
}
