// Package retry decides whether a request may be sent again: after a refusal
// or failure, or as a hedge while the first attempt is late.
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

// Policy decides on the repeats and hedges of one service in one process.
type Policy struct {
	config  Config
	random  *rand.Rand
	budget  *Budget
	latency *quantile.Window
	on      bool
}

// Indexes and values of the latency quantiles.
const (
	usual = iota
	late

	usualPercent = 50
)

// hedgeSamples is the number of latencies from which the hedge delay is known.
// A 95th percentile needs a few values above it.
const hedgeSamples = 100

// New returns a policy with a full budget and repeats on.
func New(c Config, random *rand.Rand) *Policy {
	c = c.withDefaults()
	return &Policy{
		config:  c,
		random:  random,
		budget:  NewBudget(c.BudgetShare, c.BudgetBurst),
		latency: quantile.NewWindow(c.LatencyHalfWindow, hedgeSamples, usualPercent, c.HedgePercentile),
		on:      true,
	}
}

// SetEnabled switches repeats and hedges.
func (p *Policy) SetEnabled(on bool) { p.on = on }

// Budget returns the budget of extra requests.
func (p *Policy) Budget() *Budget { return p.budget }

// Request counts a request of a caller. Call it once before its first attempt.
func (p *Policy) Request() { p.budget.CountRequest() }

// Observe takes the latency of an answered request into account: from its
// first attempt to the answer that the caller got.
func (p *Policy) Observe(now clock.Reading, latency time.Duration) { p.latency.Record(now, latency) }

// Decide says whether the request may be sent again. A repeat after a refusal
// for lack of capacity uses the budget.
func (p *Policy) Decide(now clock.Reading, a Attempt) Decision {
	result, reason := outcome.Unknown, outcome.ReasonUpstreamBroken
	var asked time.Duration
	if a.Refusal != nil {
		result, reason, asked = a.Refusal.Outcome, a.Refusal.Reason, a.Refusal.RetryAfter
	}
	why := causeOf(reason)
	switch {
	case !result.RetrySafe(a.Idempotent && !a.Payment):
		return Decision{Denied: DeniedMayHaveRun}
	case why == final:
		return Decision{Denied: DeniedPermanent}
	case !p.on:
		return Decision{Denied: DeniedDisabled}
	case a.Number >= p.config.MaxAttempts:
		return Decision{Denied: DeniedMaxAttempts}
	}
	wait := p.wait(a, asked)
	if !a.Deadline.IsZero() && a.Deadline.Mono-now.Mono < wait+p.latency.Quantile(usual) {
		return Decision{Denied: DeniedDeadline}
	}
	// A request with an unknown outcome may run twice and adds load as well.
	use := BrowseRetry
	if a.Payment {
		use = PaymentRetry
	}
	if (why == load || result != outcome.NotRun) && !p.budget.Take(use) {
		return Decision{Denied: DeniedBudget}
	}
	return Decision{Retry: true, Wait: wait}
}

// wait is the time before the next attempt: none at another target, otherwise
// what the target asked for, at least a random time that doubles with each
// attempt.
func (p *Policy) wait(a Attempt, asked time.Duration) time.Duration {
	if a.OtherTargetAvailable {
		return 0
	}
	mean := min(p.config.InitialBackoff<<min(max(a.Number-1, 0), 16), p.config.MaxBackoff)
	backoff := mean/2 + time.Duration(p.random.Int64N(int64(mean)))
	if asked <= backoff {
		return backoff
	}
	// Callers that were refused together must not come back together.
	return asked + time.Duration(p.random.Int64N(int64(asked)/8+1))
}

// HedgeDelay returns the time after its start at which an idempotent request
// without an answer is sent to a second target. It returns false while the
// latency is unknown or repeats are off.
func (p *Policy) HedgeDelay(_ clock.Reading) (time.Duration, bool) {
	delay := p.latency.Quantile(late)
	if !p.on || delay == 0 {
		return 0, false
	}
	return max(delay, p.config.MinHedgeDelay), true
}

// Hedge reports whether the request may be hedged now and uses the budget.
// Call it when the hedge delay has passed. Payments are never hedged.
func (p *Policy) Hedge(a Attempt) bool {
	return p.on && a.Idempotent && !a.Payment && p.budget.Take(HedgeRequest)
}
