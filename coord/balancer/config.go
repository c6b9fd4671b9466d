package balancer

import "time"

// Config tunes a Chooser. Zero values select the defaults.
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
	// TailMargin is the ratio of a latency to the service's 95th percentile
	// from which it may count as slow. It keeps services with a wide spread of
	// latency from suspecting their targets. Default: 1.2.
	TailMargin float64
	// MinSlow is the latency below which nothing counts as slow, so that
	// scheduling delays of very fast services are not taken for stragglers.
	// Default: 2 ms.
	MinSlow time.Duration
	// SuspectEvidence is the number of slow, overdue or failed requests, less
	// the number of normal answers, from which a target is suspected.
	// Requests that take twice the slow latency count twice. A lower value
	// suspects sooner and more often wrongly. Default: 4.
	SuspectEvidence float64
	// ReturnAnswers is the number of normal answers in a row after which a
	// suspect returns. A higher value returns later and less often wrongly.
	// Default: 3.
	ReturnAnswers int
	// ProbeInterval is the shortest time between two probes of a suspect; it
	// doubles with each slow probe up to ProbeLongest. Shorter intervals return
	// targets sooner and send more requests to stragglers. Default: 20 ms.
	ProbeInterval time.Duration
	// ProbeLongest bounds the time between two probes. Default: 500 ms.
	ProbeLongest time.Duration
	// ProbePicks is the least number of requests between two probes of one
	// suspect, unless ProbeLongest has passed. It bounds the share of requests
	// that a straggler delays to 1/ProbePicks. Default: 200.
	ProbePicks int
	// ReportAge is the age at which a gate's report of other processes' load
	// has no more weight. An older report describes requests that have ended.
	// Default: 100 ms.
	ReportAge time.Duration
	// ReportWeight is the weight of other processes' requests in reports against
	// this process's own. A higher weight balances uneven callers better and
	// gives late and false reports more influence. Default: 0.25.
	ReportWeight float64
	// LevelPeriod is half of the time over which the service's latency level is
	// measured. A longer one is steadier and accepts a lasting change later.
	// Default: 10 s.
	LevelPeriod time.Duration
}

// Default values of Config.
const (
	DefaultCandidates      = 8
	DefaultSlowFactor      = 4.0
	DefaultTailMargin      = 1.2
	DefaultMinSlow         = 2 * time.Millisecond
	DefaultSuspectEvidence = 4.0
	DefaultReturnAnswers   = 3
	DefaultProbeInterval   = 20 * time.Millisecond
	DefaultProbeLongest    = 500 * time.Millisecond
	DefaultProbePicks      = 200
	DefaultReportAge       = 100 * time.Millisecond
	DefaultReportWeight    = 0.25
	DefaultLevelPeriod     = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Candidates, DefaultCandidates)
	setDefault(&c.SlowFactor, DefaultSlowFactor)
	setDefault(&c.TailMargin, DefaultTailMargin)
	setDefault(&c.MinSlow, DefaultMinSlow)
	setDefault(&c.SuspectEvidence, DefaultSuspectEvidence)
	setDefault(&c.ReturnAnswers, DefaultReturnAnswers)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.ProbeLongest, DefaultProbeLongest)
	setDefault(&c.ProbePicks, DefaultProbePicks)
	setDefault(&c.ReportAge, DefaultReportAge)
	setDefault(&c.ReportWeight, DefaultReportWeight)
	setDefault(&c.LevelPeriod, DefaultLevelPeriod)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
