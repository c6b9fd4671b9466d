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

// Guards against a payment that runs twice and against a repeat that gets the
// same answer.
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
	off := newPolicy()
	off.SetEnabled(false)
	is.Equal(off.Decide(clock.At(0), Attempt{Number: 1, Refusal: notRun}).Denied, DeniedDisabled)
	is.True(!off.Hedge(Attempt{Idempotent: true}))
	is.True(!newPolicy().Hedge(Attempt{Idempotent: true, Payment: true}))
	is.True(!newPolicy().Hedge(Attempt{}))
}

// Guards against repeats before the target asked for them, and against waiting
// when another target is free.
func TestWait(t *testing.T) {
	is := is.New(t)
	p := newPolicy()
	asked := &outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonDraining, RetryAfter: time.Second}
	for number := range 3 {
		is.True(p.Decide(clock.At(0), Attempt{Number: number + 1, Refusal: asked}).Wait >= time.Second)
		is.Equal(p.Decide(clock.At(0), Attempt{Number: number + 1, Refusal: asked, OtherTargetAvailable: true}).Wait, time.Duration(0))
	}
}

// Guards against extra load beyond 5% in the long run and the burst, and
// against hedges that leave no repeat for payments.
func TestBudget(t *testing.T) {
	is := is.New(t)
	p := newPolicy()
	refused := outcome.NewNotRun(outcome.ReasonQueueFull, "")
	hedges, repeats := 0, 0
	const requests = 10_000
	for range requests {
		p.Request()
		if p.Hedge(Attempt{Idempotent: true}) {
			hedges++
		}
		if p.Decide(clock.At(0), Attempt{Number: 1, Refusal: refused}).Retry {
			repeats++
		}
	}
	is.True(hedges+repeats <= requests/20+DefaultBudgetBurst)
	is.True(p.Decide(clock.At(0), Attempt{Number: 1, Payment: true, Refusal: refused}).Retry)
	total, extra := p.Budget().Totals()
	is.Equal(total, uint64(requests))
	is.Equal(extra, uint64(hedges+repeats+1))
}

// Guards against hedges after an outdated or unknown latency.
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
		p.Request()
		p.Decide(clock.At(0), Attempt{Number: 1, Idempotent: true, Refusal: refusal, Deadline: clock.At(time.Second)})
	}
}

func BenchmarkObserveHedge(b *testing.B) {
	p := newPolicy()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := clock.At(time.Duration(i) * 100 * time.Microsecond)
		p.Request()
		p.HedgeDelay(now)
		p.Hedge(Attempt{Idempotent: true})
		p.Observe(now, time.Duration(i%100)*time.Millisecond)
	}
}
