package balancer

import "time"

// Config configures a Balancer. Numbers that are zero or negative select the
// defaults.
type Config struct {
	// DataCentre is the data centre of this process. Targets in it are preferred to
	// equal ones in others. If it is empty, none are preferred.
	DataCentre string
	// Candidates is the number of random targets that Pick compares for one request;
	// some may be drawn twice. If the service has no more than that, all are
	// compared. A higher value finds a less loaded target and takes more time. Order
	// always compares all. Default: 8.
	Candidates int
	// SlowFactor is the ratio of a latency to the service's median from which
	// it may count as slow. A lower value detects stragglers sooner and suspects
	// more targets wrongly. Default: 4.
	SlowFactor float64
	// TailFactor is the ratio of a latency to the service's 95th percentile
	// from which it may count as slow. It prevents suspects in services whose
	// latency varies widely. Default: 1.2.
	TailFactor float64
	// MinSlowLatency is the latency below which no request counts as slow, so that
	// targets of very fast services are not suspected for scheduling delays.
	// Default: 2 ms.
	MinSlowLatency time.Duration
	// SuspectThreshold is the number of slow, overdue or failed requests, less
	// the number of normal answers, from which a target is suspected.
	// Requests that take twice the slow latency count twice. A lower value
	// suspects sooner and more often wrongly. Default: 4.
	SuspectThreshold float64
	// ReinstateAfterSuccesses is the number of normal answers in a row after which a
	// suspect is reinstated. A higher value reinstates later and less often
	// wrongly. Default: 3.
	ReinstateAfterSuccesses int
	// MinProbeInterval is the shortest time from the start of a suspicion to its
	// first probe. The shortest time to the next one doubles with each probe up to
	// MaxProbeInterval, less a random part of up to a quarter. After a normal answer
	// the remaining probes follow at once. Shorter intervals reinstate targets sooner
	// and send more requests to stragglers. Default: 20 ms.
	MinProbeInterval time.Duration
	// MaxProbeInterval bounds the time between two probes. Default: 500 ms.
	MaxProbeInterval time.Duration
	// MinPicksBetweenProbes is the least number of requests between two probes of one
	// suspect, unless MaxProbeInterval has passed. It bounds the fraction of requests
	// that a straggler delays to 1/MinPicksBetweenProbes. Default: 200.
	MinPicksBetweenProbes int
	// ReportAge is the age at which a gate's report of other processes' load no
	// longer counts, because the reported requests have ended. It is also the time
	// constant with which refusals decay. Default: 100 ms.
	ReportAge time.Duration
	// ReportWeight is the weight of other processes' reported requests relative to
	// this process's own. A higher weight balances better if the load of processes
	// differs, and gives late or wrong reports more influence. Default: 0.25.
	ReportWeight float64
	// LatencyHalfWindow is half of the time over which the service's usual latency
	// is measured. A longer window varies less and follows a lasting change later.
	// Default: 10 s.
	LatencyHalfWindow time.Duration
}

// Default values of Config.
const (
	DefaultCandidates              = 8
	DefaultSlowFactor              = 4.0
	DefaultTailFactor              = 1.2
	DefaultMinSlowLatency          = 2 * time.Millisecond
	DefaultSuspectThreshold        = 4.0
	DefaultReinstateAfterSuccesses = 3
	DefaultMinProbeInterval        = 20 * time.Millisecond
	DefaultMaxProbeInterval        = 500 * time.Millisecond
	DefaultMinPicksBetweenProbes   = 200
	DefaultReportAge               = 100 * time.Millisecond
	DefaultReportWeight            = 0.25
	DefaultLatencyHalfWindow       = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Candidates, DefaultCandidates)
	setDefault(&c.SlowFactor, DefaultSlowFactor)
	setDefault(&c.TailFactor, DefaultTailFactor)
	setDefault(&c.MinSlowLatency, DefaultMinSlowLatency)
	setDefault(&c.SuspectThreshold, DefaultSuspectThreshold)
	setDefault(&c.ReinstateAfterSuccesses, DefaultReinstateAfterSuccesses)
	setDefault(&c.MinProbeInterval, DefaultMinProbeInterval)
	setDefault(&c.MaxProbeInterval, DefaultMaxProbeInterval)
	setDefault(&c.MinPicksBetweenProbes, DefaultMinPicksBetweenProbes)
	setDefault(&c.ReportAge, DefaultReportAge)
	setDefault(&c.ReportWeight, DefaultReportWeight)
	setDefault(&c.LatencyHalfWindow, DefaultLatencyHalfWindow)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
