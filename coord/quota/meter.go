package quota

import (
	"math"
	"time"
)

const (
	// meterTime is the time constant of the measured rate. A rate of 2/s deviates by 30%
	// at 3 s; a longer time makes the division follow changes of traffic more slowly.
	meterTime = 3 * time.Second
	// minMeterAge is the least time over which a rate is measured.
	minMeterAge = time.Second
	// minDemand is the rate, per second, below which there is no demand. One request
	// counts as demand for about 6 s.
	minDemand = 0.05
)

// meter measures a rate as an exponentially weighted average.
type meter struct {
	rate  float64 // at the time last, without the correction for a short measurement
	since time.Duration
	last  time.Duration
}

// count counts one request.
func (m *meter) count(now time.Duration) {
	if m.value(now) == 0 {
		*m = meter{since: now, last: now}
	}
	m.decay(now)
	m.rate += 1 / meterTime.Seconds()
}

func (m *meter) decay(now time.Duration) {
	if now > m.last {
		m.rate *= math.Exp(-(now - m.last).Seconds() / meterTime.Seconds())
		m.last = now
	}
}

// value returns the rate per second, or zero without demand.
func (m *meter) value(now time.Duration) float64 {
	m.decay(now)
	if m.rate < minDemand {
		return 0
	}
	age := max(now-m.since, minMeterAge)
	return m.rate / (1 - math.Exp(-age.Seconds()/meterTime.Seconds()))
}
