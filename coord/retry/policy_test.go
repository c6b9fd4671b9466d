package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

func newPolicy() *Policy { return New(Config{}, rand.New(rand.NewPCG(1, 1))) }

// Guards against a payment that runs twice, a retry that gets the same answer,
// and a retry beyond the attempts, the deadline or the switch of an operator.
func TestDecide(t *testing.T) {
	is := is.New(t)
	notRun := outcome.NewNotRun(outcome.ReasonQueueFull, "")
	lost := outcome.NewUnknown(outcome.ReasonUpstreamBroken, "")
	for _, c := range []struct {
		attempt Attempt
		denied  Denial
	}{
		{Attempt{Number: 1, Payment: true, Refusal: notRun}, ""},
		{Attempt{Number: 1, Payment: true, Refusal: lost}, DeniedMayHaveRun},
		{Attempt{Number: 1, Payment: true, Idempotent: true, Refusal: lost}, DeniedMayHaveRun},
		{Attempt{Number: 1, Payment: true, Idempotent: true}, DeniedMayHaveRun},
		{Attempt{Number: 1, Refusal: lost}, DeniedMayHaveRun},
		{Attempt{Number: 1, Idempotent: true, Refusal: lost}, ""},
		{Attempt{Number: 1, Refusal: outcome.NewNotRun(outcome.ReasonBadRequest, "")}, DeniedPermanent},
		{Attempt{Number: 4, Refusal: notRun}, DeniedMaxAttempts},
		{Attempt{Number: 1, Refusal: notRun, Deadline: clock.At(time.Millisecond)}, DeniedDeadline},
	} {
		d := newPolicy().Decide(clock.At(0), c.attempt)
		is.Equal(d.Denied, c.denied)
		is.Equal(d.Retry, c.denied == "")
	}
	disabled := newPolicy()
	disabled.SetEnabled(false)
	is.Equal(disabled.Decide(clock.At(0), Attempt{Number: 1, Refusal: notRun}).Denied, DeniedDisabled)
	is.True(!disabled.Hedge(Attempt{Idempotent: true}))
	is.True(!newPolicy().Hedge(Attempt{Idempotent: true, Payment: true}))
	is.True(!newPolicy().Hedge(Attempt{}))
}

// Guards against retries earlier than the RetryAfter of the refusal, and against
// waiting when another target is available.
func TestWait(t *testing.T) {
	is := is.New(t)
	p := newPolicy()
	refused := &outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonDraining, RetryAfter: time.Second}
	for number := range 3 {
		is.True(p.Decide(clock.At(0), Attempt{Number: number + 1, Refusal: refused}).Wait >= time.Second)
		is.Equal(p.Decide(clock.At(0), Attempt{Number: number + 1, Refusal: refused, OtherTargetAvailable: true}).Wait, time.Duration(0))
	}
}

// Guards against more extra requests than 5% of all requests and one burst, and
// against hedges that use up the budget for retries of payments.
func TestBudget(t *testing.T) {
	is := is.New(t)
	p := newPolicy()
	refused := outcome.NewNotRun(outcome.ReasonQueueFull, "")
	hedges, retries := 0, 0
	const requests = 10_000
	for range requests {
		p.CountRequest()
		if p.Hedge(Attempt{Idempotent: true}) {
			hedges++
		}
		if p.Decide(clock.At(0), Attempt{Number: 1, Refusal: refused}).Retry {
			retries++
		}
	}
	is.True(hedges+retries <= requests/20+DefaultBudgetBurst)
	is.True(p.Decide(clock.At(0), Attempt{Number: 1, Payment: true, Refusal: refused}).Retry)
	total, extra := p.Budget().Totals()
	is.Equal(total, uint64(requests))
	is.Equal(extra, uint64(hedges+retries+1))
}

// Guards against a hedge delay without enough latencies, and against one that
// does not follow a change of the latency.
func TestHedgeDelay(t *testing.T) {
	is := is.New(t)
	p := newPolicy()
	_, ok := p.HedgeDelay(clock.At(0))
	is.True(!ok)
	observe := func(from time.Duration, unit time.Duration) {
		for i := range 1000 {
			p.Observe(clock.At(from+time.Duration(i)*time.Millisecond), time.Duration(i%100+1)*unit)
		}
	}
	observe(0, time.Millisecond)
	delay, ok := p.HedgeDelay(clock.At(time.Second))
	is.True(ok)
	is.True(delay >= 90*time.Millisecond && delay <= 102*time.Millisecond) // the 95th percentile within 1/16
	observe(time.Minute, 2*time.Millisecond)
	delay, _ = p.HedgeDelay(clock.At(time.Minute + time.Second))
	is.True(delay >= 180*time.Millisecond)
}

func BenchmarkDecide(b *testing.B) {
	p := newPolicy()
	refusal := outcome.NewNotRun(outcome.ReasonQueueFull, "")
	b.ReportAllocs()
	for b.Loop() {
		p.CountRequest()
		p.Decide(clock.At(0), Attempt{Number: 1, Idempotent: true, Refusal: refusal, Deadline: clock.At(time.Second)})
	}
}

func BenchmarkObserveHedge(b *testing.B) {
	p := newPolicy()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := clock.At(time.Duration(i) * 100 * time.Microsecond)
		p.CountRequest()
		p.HedgeDelay(now)
		p.Hedge(Attempt{Idempotent: true})
		p.Observe(now, time.Duration(i%100)*time.Millisecond)
	}
}
