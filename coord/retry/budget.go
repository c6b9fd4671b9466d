package retry

// Budget bounds extra requests to a share of all requests. It is a token
// bucket filled by requests instead of time, so that the share holds at any
// rate. It starts full.
type Budget struct {
	share, burst, tokens float64
	requests, extra      uint64
}

// NewBudget returns a budget of share extra requests per request, of which up
// to burst can be saved up.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// NewEmptyBudget is NewBudget with nothing saved up. It suits a budget that is
// shared with other processes: restarts must not refill it.
func NewEmptyBudget(share, burst float64) *Budget { return &Budget{share: share, burst: burst} }

// SetBurst changes how many extra requests may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// CountRequest counts one request of a caller.
func (b *Budget) CountRequest() {
	b.requests++
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Purpose states what an extra request is for. Each use leaves a part of the burst
// to the more important ones.
type Purpose uint8

const (
	// PaymentRetry may use the whole budget: payments are given up last.
	PaymentRetry Purpose = iota
	// BrowseRetry leaves a quarter. Without it the caller gets a refusal.
	BrowseRetry
	// HedgeRequest leaves a half. Without it the caller gets a later answer.
	HedgeRequest

	reserveStep = 0.25
)

// Take uses the budget for one extra request, or returns false.
func (b *Budget) Take(use Purpose) bool {
	if b.tokens < 1+float64(use)*reserveStep*b.burst {
		return false
	}
	b.tokens--
	b.extra++
	return true
}

// Totals returns the callers' requests and the extra requests so far.
func (b *Budget) Totals() (requests, extra uint64) { return b.requests, b.extra }
