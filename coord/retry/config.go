package retry

import "time"

// Config tunes a Policy. Zero values select the defaults.
type Config struct {
	// MaxAttempts bounds the attempts of one request, the first one included.
	// More attempts survive more failures and add load during them. Default: 4.
	MaxAttempts int
	// InitialBackoff is the mean wait before a repeat at a target that refused; it
	// doubles with each attempt up to MaxBackoff. A shorter wait answers sooner
	// and adds load to a target that just refused. Default: 10 ms.
	InitialBackoff time.Duration
	// MaxBackoff bounds the wait, unless the refusal asks for more. Default: 1 s.
	MaxBackoff time.Duration
	// HedgePercentile is the percentile of recent latency after which a request
	// is hedged. A lower one hedges sooner and uses the budget up. Default: 95.
	HedgePercentile float64
	// MinHedgeDelay bounds the hedge delay from below, so that a very fast
	// service does not hedge on scheduling delays. Default: 1 ms.
	MinHedgeDelay time.Duration
	// LatencyHalfWindow is half of the time over which latency is measured. A longer one is
	// steadier and follows a change later. Default: 10 s.
	LatencyHalfWindow time.Duration
	// BudgetShare is the number of extra requests per request. A larger share
	// helps more requests and adds load. Default: 0.05.
	BudgetShare float64
	// BudgetBurst is the number of extra requests that may be saved up. A larger
	// burst covers more requests when a target stops, and adds load at once.
	// Default: 10.
	BudgetBurst float64
}

// Default values of Config.
const (
	DefaultMaxAttempts     = 4
	DefaultFirstWait       = 10 * time.Millisecond
	DefaultLongestWait     = time.Second
	DefaultHedgePercentile = 95.0
	DefaultHedgeShortest   = time.Millisecond
	DefaultWindow          = 10 * time.Second
	DefaultBudgetShare     = 0.05
	DefaultBudgetBurst     = 20.0
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.InitialBackoff, DefaultFirstWait)
	setDefault(&c.MaxBackoff, DefaultLongestWait)
	setDefault(&c.HedgePercentile, DefaultHedgePercentile)
	setDefault(&c.MinHedgeDelay, DefaultHedgeShortest)
	setDefault(&c.LatencyHalfWindow, DefaultWindow)
	setDefault(&c.BudgetShare, DefaultBudgetShare)
	setDefault(&c.BudgetBurst, DefaultBudgetBurst)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
