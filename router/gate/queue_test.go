package gate_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
)

// TestOwnershipIsCheckedAfterQueueing guards against dispatching a request that
// was allowed when it arrived and is no longer allowed when it gets its slot.
func TestOwnershipIsCheckedAfterQueueing(t *testing.T) {
	owned := table.Entry{Unit: keyedUnit, Owner: "self", Epoch: 3, Phase: table.Serving}
	moving, lost, unowned := owned, owned, owned
	moving.Phase, moving.NextOwner = table.Moving, "other"
	lost.Owner, lost.Epoch = "other", 4
	unowned.Owner, unowned.Phase = "", table.Unowned
	for name, c := range map[string]struct {
		change func(t *testing.T, fx *fixture)
		reason outcome.Reason
	}{
		"lease":   {func(_ *testing.T, fx *fixture) { fx.members.SetLease(0) }, outcome.ReasonLeaseExpired},
		"moving":  {func(t *testing.T, fx *fixture) { fx.applyTable(t, moving) }, outcome.ReasonNotOwner},
		"owner":   {func(t *testing.T, fx *fixture) { fx.applyTable(t, lost) }, outcome.ReasonNotOwner},
		"unowned": {func(t *testing.T, fx *fixture) { fx.applyTable(t, unowned) }, outcome.ReasonNotOwner},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 1)
			first := fx.send(context.Background(), 5*time.Second)
			await(t, "the first request at the target", func() bool { return fx.received.Load() == 1 })
			second := fx.send(context.Background(), 5*time.Second)
			await(t, "the second request in the queue", func() bool { return fx.gate.Status().Limiter.Queued == 1 })
			c.change(t, fx)
			fx.finishRequests()
			<-first
			refusal := <-second
			is.True(refusal != nil)
			is.Equal(refusal.Outcome, outcome.NotRun)
			is.Equal(refusal.Reason, c.reason)
			is.Equal(fx.received.Load(), int64(1)) // the target saw only the first
			is.Equal(fx.gate.Status().Limiter.Running, 0)
		})
	}
}

func (fx *fixture) applyTable(t *testing.T, e table.Entry) {
	v := fx.view(t, fx.members.View().Table.Revision()+1, e)
	fx.members.SetView(v)
	fx.gate.ApplyView(v)
}

// TestLeaseEndsRequestsAtTarget guards against a request that runs on at the target
// after the lease has expired.
func TestLeaseEndsRequestsAtTarget(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	done := fx.send(context.Background(), 5*time.Second)
	await(t, "the request at the target", func() bool { return fx.received.Load() == 1 })
	time.Sleep(30 * time.Millisecond) // Run has checked the valid lease
	fx.members.SetLease(0)
	select {
	case refusal := <-done:
		is.Equal(refusal.Outcome, outcome.Unknown)
	case <-time.After(time.Second):
		t.Fatal("the request was not cancelled within 1 s of the lease")
	}
}

// TestReleaseWaitsForRequests guards against reporting a moving unit as released
// while a request for it runs.
func TestReleaseWaitsForRequests(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 2)
	done := fx.send(context.Background(), 5*time.Second)
	await(t, "the request at the target", func() bool { return fx.received.Load() == 1 })
	moving := table.Entry{Unit: keyedUnit, Owner: "self", Epoch: 3, Phase: table.Moving, NextOwner: "other"}
	fx.applyTable(t, moving)
	is.Equal(len(fx.gate.Report().Released), 0)
	renewals := fx.members.RenewNowCalls()
	refusal := <-fx.send(context.Background(), time.Second)
	is.Equal(refusal.Reason, outcome.ReasonNotOwner) // nothing new starts
	fx.finishRequests()
	is.True(<-done == nil) // the running request is completed
	await(t, "the release", func() bool { return len(fx.gate.Report().Released) == 1 })
	is.Equal(fx.gate.Report().Released[0].Epoch, uint64(3))
	is.True(fx.members.RenewNowCalls() > renewals) // it is reported to control at once
	fx.applyTable(t, table.Entry{Unit: keyedUnit, Owner: "other", Epoch: 4, Phase: table.Serving})
	is.Equal(len(fx.gate.Report().Released), 0)
}

// TestStoppingUnitStartsNothing guards against a request that was checked against
// the table before a move and starts after the unit was reported as released.
func TestStoppingUnitStartsNothing(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	fx.finishRequests()
	fx.gate.ApplyView(fx.view(t, 2, table.Entry{Unit: keyedUnit, Owner: "self", Epoch: 3, Phase: table.Moving, NextOwner: "other"}))
	is.Equal(len(fx.gate.Report().Released), 1)
	refusal := <-fx.send(context.Background(), time.Second)
	is.True(refusal != nil)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(fx.received.Load(), int64(0))
}

// TestCancelledRequestsLeakNothing guards against slots, queue places or unit counts
// that cancelled requests leave behind.
func TestCancelledRequestsLeakNothing(t *testing.T) {
	is := is.New(t)
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	fx := newFixture(t, 3)
	cancelled := func(requests, withinUs int) {
		ends := make([]chan *outcome.Refusal, 0, requests)
		for range requests {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Duration(random.IntN(withinUs))*time.Microsecond, cancel)
			ends = append(ends, fx.send(ctx, time.Duration(1+random.IntN(40))*time.Millisecond))
			if random.IntN(4) == 0 {
				time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
			}
		}
		for _, end := range ends {
			<-end
		}
		st := fx.gate.Status()
		// A cancelled request may run at the target until its deadline, which is
		// at most 40 ms away, and its key counts as running until then.
		for end := time.Now().Add(time.Second); st.InFlight > 0 && time.Now().Before(end); st = fx.gate.Status() {
			time.Sleep(time.Millisecond)
		}
		is.Equal(st.Limiter.Running, 0)
		is.Equal(st.Limiter.Queued, 0)
		is.Equal(st.InFlight, 0)
	}
	cancelled(2_000, 20_000) // the target answers none
	fx.finishRequests()
	cancelled(5_000, 2_000) // slots are freed and taken at the same time
	for range 3 {
		is.True(<-fx.send(context.Background(), 5*time.Second) == nil) // every slot is usable
	}
}
