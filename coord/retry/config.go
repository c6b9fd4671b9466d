package retry

import "time"

// Config configures a Policy. Zero and negative values select the defaults.
type Config struct {
	// MaxAttempts is the maximum number of attempts of one request, including the
	// first. With more attempts, a request survives more failures and adds more
	// load during them. Default: 4.
	MaxAttempts int
	// InitialBackoff is the mean wait before a retry at a target that refused; it
	// doubles with each attempt up to MaxBackoff. With a shorter wait, callers get
	// answers sooner, and a target that just refused gets more load.
	// Default: 10 ms.
	InitialBackoff time.Duration
	// MaxBackoff bounds the mean wait, unless the RetryAfter of the refusal is
	// longer. Default: 1 s.
	MaxBackoff time.Duration
	// HedgePercentile is the percentile of recent latency after which a request
	// is hedged. A lower one hedges sooner and uses more of the budget. Default: 95.
	HedgePercentile float64
	// MinHedgeDelay bounds the hedge delay from below, so that a very fast
	// service does not hedge on scheduling delays. Default: 1 ms.
	MinHedgeDelay time.Duration
	// LatencyHalfWindow is half of the time over which latency is measured. A
	// longer one gives steadier percentiles and follows a change later.
	// Default: 10 s.
	LatencyHalfWindow time.Duration
	// BudgetRatio is the number of extra requests (retries and hedges) per request.
	// A larger ratio helps more requests and adds load. Default: 0.05.
	BudgetRatio float64
	// BudgetBurst is the maximum number of extra requests that may be made at once.
	// A larger burst covers more requests when a target stops, and adds more load
	// at that moment. Default: 20.
	BudgetBurst float64
}

// Default values of Config.
const (
	DefaultMaxAttempts       = 4
	DefaultInitialBackoff    = 10 * time.Millisecond
	DefaultMaxBackoff        = time.Second
	DefaultHedgePercentile   = 95.0
	DefaultMinHedgeDelay     = time.Millisecond
	DefaultLatencyHalfWindow = 10 * time.Second
	DefaultBudgetRatio       = 0.05
	DefaultBudgetBurst       = 20.0
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.InitialBackoff, DefaultInitialBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.HedgePercentile, DefaultHedgePercentile)
	setDefault(&c.MinHedgeDelay, DefaultMinHedgeDelay)
	setDefault(&c.LatencyHalfWindow, DefaultLatencyHalfWindow)
	setDefault(&c.BudgetRatio, DefaultBudgetRatio)
	setDefault(&c.BudgetBurst, DefaultBudgetBurst)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
