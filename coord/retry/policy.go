// Package retry decides whether a request may be sent again: as a retry after a
// refusal or failure, or as a hedge while the first attempt is late. Retries and
// hedges are limited by a budget. The mode with hashed shards uses Policy; the
// mode with key ranges uses Budget only.
//
// A Policy is not safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/internal/quantile"
	"bramleyquay.example/coord/outcome"
)

// Policy decides on the retries and hedges of one service in one process.
type Policy struct {
	config  Config
	random  *rand.Rand
	budget  *Budget
	latency *quantile.Window
	enabled bool
}

// Indexes of the latency quantiles, and the percentile of the first.
const (
	medianIndex = iota
	hedgeIndex

	medianPercentile = 50
)

// minLatencySamples is the smallest number of latencies for which quantiles are
// computed: 5 of 100 are above the 95th percentile.
const minLatencySamples = 100

// New returns a policy with a full budget and with retries and hedges enabled.
// It uses random for the backoff and its jitter; random must not be nil, and
// must not be used concurrently with the policy.
func New(c Config, random *rand.Rand) *Policy {
	c = c.withDefaults()
	return &Policy{
		config:  c,
		random:  random,
		budget:  NewBudget(c.BudgetRatio, c.BudgetBurst),
		latency: quantile.NewWindow(c.LatencyHalfWindow, minLatencySamples, medianPercentile, c.HedgePercentile),
		enabled: true,
	}
}

// SetEnabled enables or disables retries and hedges.
func (p *Policy) SetEnabled(enabled bool) { p.enabled = enabled }

// Budget returns the budget of extra requests.
func (p *Policy) Budget() *Budget { return p.budget }

// CountRequest counts a request of a caller for the budget. Call it once for
// each request, before its first attempt.
func (p *Policy) CountRequest() { p.budget.CountRequest() }

// Observe records the latency of an answered request: the time from its first
// attempt to the answer that the caller got.
func (p *Policy) Observe(now clock.Reading, latency time.Duration) { p.latency.Record(now, latency) }

// Decide returns whether and when the request is retried. A retry that adds load
// to a target takes a token of the budget.
func (p *Policy) Decide(now clock.Reading, a Attempt) Decision {
	result, reason := outcome.Unknown, outcome.ReasonUpstreamBroken
	var retryAfter time.Duration
	if a.Refusal != nil {
		result, reason, retryAfter = a.Refusal.Outcome, a.Refusal.Reason, a.Refusal.RetryAfter
	}
	refusalCause := causeOf(reason)
	switch {
	case !result.RetrySafe(a.Idempotent && !a.Payment):
		return Decision{Denied: DeniedMayHaveRun}
	case refusalCause == permanent:
		return Decision{Denied: DeniedPermanent}
	case !p.enabled:
		return Decision{Denied: DeniedDisabled}
	case a.Number >= p.config.MaxAttempts:
		return Decision{Denied: DeniedMaxAttempts}
	}
	wait := p.retryWait(a, retryAfter)
	if !a.Deadline.IsZero() && a.Deadline.Mono-now.Mono < wait+p.latency.Quantile(medianIndex) {
		return Decision{Denied: DeniedDeadline}
	}
	// A retry after an unknown outcome may make the request run twice, so that it
	// adds load as well.
	purpose := BrowseRetry
	if a.Payment {
		purpose = PaymentRetry
	}
	if (refusalCause == overload || result != outcome.NotRun) && !p.budget.Take(purpose) {
		return Decision{Denied: DeniedBudget}
	}
	return Decision{Retry: true, Wait: wait}
}

// retryWait returns the time before the next attempt. It is zero at another
// target. At the same target it is a random backoff whose mean doubles with each
// attempt, or retryAfter with some jitter if that is longer.
func (p *Policy) retryWait(a Attempt, retryAfter time.Duration) time.Duration {
	if a.OtherTargetAvailable {
		return 0
	}
	mean := min(p.config.InitialBackoff<<min(max(a.Number-1, 0), 16), p.config.MaxBackoff)
	backoff := mean/2 + time.Duration(p.random.Int64N(int64(mean)))
	if retryAfter <= backoff {
		return backoff
	}
	// Requests that were refused at the same time must not be retried at the same
	// time.
	return retryAfter + time.Duration(p.random.Int64N(int64(retryAfter)/8+1))
}

// HedgeDelay returns the time after its start at which an idempotent request
// without an answer is sent to a second target. It returns false while there are
// too few latencies or hedges are disabled.
func (p *Policy) HedgeDelay(_ clock.Reading) (time.Duration, bool) {
	delay := p.latency.Quantile(hedgeIndex)
	if !p.enabled || delay == 0 {
		return 0, false
	}
	return max(delay, p.config.MinHedgeDelay), true
}

// Hedge reports whether the request may be hedged now, and takes a token of the
// budget if so. It uses only Idempotent and Payment of a; MaxAttempts does not
// apply. Call it when the hedge delay has passed. Payments are never hedged.
func (p *Policy) Hedge(a Attempt) bool {
	return p.enabled && a.Idempotent && !a.Payment && p.budget.Take(HedgeRequest)
}
