package relay

import (
	"sync"

	"bramleyquay.example/coord/retry"
)

// RetryBudgetConfig bounds the retries of all processes together, separately for
// each service.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed per request, Burst the number that
	// is allowed in addition, whatever the number of requests.
	Ratio, Burst float64
}

const (
	// ratioShare and burstShare are the parts of Ratio and Burst that the
	// ingresses use. The rest is left for the calls that a retried request makes
	// in turn, which count as retries and are not seen here, and for the time in
	// which a process does not know the current number of processes.
	ratioShare, burstShare = 0.5, 0.5
)

// retryBudgets holds one retry budget for each service. Its methods may be
// called concurrently.
type retryBudgets struct {
	cfg       RetryBudgetConfig
	mu        sync.Mutex
	byService map[string]*retry.Budget
}

func newRetryBudgets(cfg RetryBudgetConfig) *retryBudgets {
	return &retryBudgets{cfg: cfg, byService: map[string]*retry.Budget{}}
}

// countRequest counts a caller's request. The burst is divided equally among the
// processes. While the part of a process is below 1, which is one retry, take
// returns false.
func (b *retryBudgets) countRequest(service string, processes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := burstShare * b.cfg.Burst / float64(max(processes, 1))
	budget := b.byService[service]
	if budget == nil {
		// The budget starts empty, because restarts of processes must not refill the
		// budget that they share.
		budget = retry.NewEmptyBudget(ratioShare*b.cfg.Ratio, burst)
		b.byService[service] = budget
	}
	budget.SetBurst(burst)
	budget.CountRequest()
}

// take uses the service's budget for one retry. It returns false if the budget
// is used up.
func (b *retryBudgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	// Retries of all requests count alike, so each may use the whole budget.
	return budget != nil && budget.Take(retry.PaymentRetry)
}
