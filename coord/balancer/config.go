package balancer

import "time"

// Config tunes a Balancer. Zero values select the defaults.
type Config struct {
	// DataCentre is where this process runs. Targets there are preferred to
	// equal ones elsewhere. Empty prefers none.
	DataCentre string
	// Candidates is the number of targets compared for one request. More find a
	// less loaded target and cost time; all are compared if there are no more
	// than this. Default: 8.
	Candidates int
	// SlowFactor is the ratio of a latency to the service's median from which
	// it may count as slow. A lower value finds stragglers sooner and suspects
	// more targets wrongly. Default: 4.
	SlowFactor float64
	// TailFactor is the ratio of a latency to the service's 95th percentile
	// from which it may count as slow. It keeps services with a wide spread of
	// latency from suspecting their targets. Default: 1.2.
	TailFactor float64
	// MinSlowLatency is the latency below which nothing counts as slow, so that
	// scheduling delays of very fast services are not taken for stragglers.
	// Default: 2 ms.
	MinSlowLatency time.Duration
	// SuspectThreshold is the number of slow, overdue or failed requests, less
	// the number of normal answers, from which a target is suspected.
	// Requests that take twice the slow latency count twice. A lower value
	// suspects sooner and more often wrongly. Default: 4.
	SuspectThreshold float64
	// ReinstateAfterSuccesses is the number of normal answers in a row after which a
	// suspect returns. A higher value returns later and less often wrongly.
	// Default: 3.
	ReinstateAfterSuccesses int
	// MinProbeInterval is the shortest time between two probes of a suspect; it
	// doubles with each slow probe up to MaxProbeInterval. Shorter intervals return
	// targets sooner and send more requests to stragglers. Default: 20 ms.
	MinProbeInterval time.Duration
	// MaxProbeInterval bounds the time between two probes. Default: 500 ms.
	MaxProbeInterval time.Duration
	// MinPicksBetweenProbes is the least number of requests between two probes of one
	// suspect, unless MaxProbeInterval has passed. It bounds the share of requests
	// that a straggler delays to 1/MinPicksBetweenProbes. Default: 200.
	MinPicksBetweenProbes int
	// ReportAge is the age at which a gate's report of other processes' load
	// has no more weight. An older report describes requests that have ended.
	// Default: 100 ms.
	ReportAge time.Duration
	// ReportWeight is the weight of other processes' requests in reports against
	// this process's own. A higher weight balances uneven callers better and
	// gives late and false reports more influence. Default: 0.25.
	ReportWeight float64
	// LatencyHalfWindow is half of the time over which the service's latency level is
	// measured. A longer one is steadier and accepts a lasting change later.
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
