package retry

// Budget bounds the ratio of extra requests to callers' requests. It is a token
// bucket that is filled by requests instead of time, so that the ratio holds at
// any rate. It is not safe for concurrent use.
type Budget struct {
	ratio, burst, tokens float64
	requests, extra      uint64
}

// NewBudget returns a full budget that allows ratio extra requests per request
// and a burst of at most burst extra requests.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// NewEmptyBudget is like NewBudget, but the bucket is empty at first. It suits
// a bound that is divided among processes, where the restart of a process must
// not add a burst.
func NewEmptyBudget(ratio, burst float64) *Budget { return &Budget{ratio: ratio, burst: burst} }

// SetBurst changes the size of the bucket. Tokens beyond it are lost.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// CountRequest counts one request of a caller and adds ratio tokens to the
// bucket.
func (b *Budget) CountRequest() {
	b.requests++
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Purpose is what an extra request is for. Each purpose leaves a part of the burst
// to the more important ones.
type Purpose uint8

const (
	// PaymentRetry may use the whole budget: payments are refused last.
	PaymentRetry Purpose = iota
	// BrowseRetry leaves a quarter of the burst. Without the retry the caller gets
	// a refusal.
	BrowseRetry
	// HedgeRequest leaves half of the burst. Without the hedge the caller only
	// gets the answer later.
	HedgeRequest

	// reserveStep is the fraction of the burst that each purpose leaves in
	// addition to what the one before leaves.
	reserveStep = 0.25
)

// Take takes a token for one extra request. It takes none and returns false if
// less than one token remains above the part that is reserved for more
// important purposes.
func (b *Budget) Take(purpose Purpose) bool {
	if b.tokens < 1+float64(purpose)*reserveStep*b.burst {
		return false
	}
	b.tokens--
	b.extra++
	return true
}

// Totals returns how many callers' requests were counted and how many extra
// requests were allowed so far.
func (b *Budget) Totals() (requests, extra uint64) { return b.requests, b.extra }
