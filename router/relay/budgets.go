package relay

import (
	"sync"

	"bramleyquay.example/coord/retry"
)

// RetryBudgetConfig bounds the repeats of all processes together within a window.
type RetryBudgetConfig struct {
	// Ratio is the number of repeats per request, Burst a fixed number of them.
	Ratio, Burst float64
}

const (
	// ratioShare and slackShare are the parts of the bounds that are used.
	// Calls of a repeated run count as repeats too and are not seen here, and
	// processes do not know how many they are at each moment.
	ratioShare, slackShare = 0.5, 0.5
)

// budgets holds one budget for each service.
type budgets struct {
	cfg RetryBudgetConfig
	mu  sync.Mutex
	by  map[string]*retry.Budget
}

func newBudgets(cfg RetryBudgetConfig) *budgets {
	return &budgets{cfg: cfg, by: map[string]*retry.Budget{}}
}

// request counts a caller's request. The fixed part is divided among the
// processes.
func (b *budgets) request(service string, processes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := slackShare * b.cfg.Burst / float64(max(processes, 1))
	budget := b.by[service]
	if budget == nil {
		budget = retry.NewEmptyBudget(ratioShare*b.cfg.Ratio, burst)
		b.by[service] = budget
	}
	budget.SetBurst(burst)
	budget.CountRequest()
}

// take uses the budget for one repeat, or returns false.
func (b *budgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.by[service]
	return budget != nil && budget.Take(retry.PaymentRetry)
}
