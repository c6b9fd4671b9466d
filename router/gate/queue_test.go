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

// TestOwnershipIsCheckedAfterQueueing guards against dispatching a request
// that was allowed when it arrived and no longer is when it gets its slot.
func TestOwnershipIsCheckedAfterQueueing(t *testing.T) {
	owned := table.Entry{Unit: unitK, Owner: "self", Epoch: 3, Phase: table.Serving}
	moving, lost, unowned := owned, owned, owned
	moving.Phase, moving.NextOwner = table.Moving, "other"
	lost.Owner, lost.Epoch = "other", 4
	unowned.Owner, unowned.Phase = "", table.Unowned
	for name, c := range map[string]struct {
		lose   func(t *testing.T, r *rig)
		reason outcome.Reason
	}{
		"lease":   {func(_ *testing.T, r *rig) { r.members.SetLease(0) }, outcome.ReasonLeaseExpired},
		"moving":  {func(t *testing.T, r *rig) { r.follow(t, moving) }, outcome.ReasonNotOwner},
		"owner":   {func(t *testing.T, r *rig) { r.follow(t, lost) }, outcome.ReasonNotOwner},
		"unowned": {func(t *testing.T, r *rig) { r.follow(t, unowned) }, outcome.ReasonNotOwner},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 1)
			first := r.send(context.Background(), 5*time.Second)
			await(t, "the first request at the target", func() bool { return r.seen.Load() == 1 })
			second := r.send(context.Background(), 5*time.Second)
			await(t, "the second request in the queue", func() bool { return r.gate.Status().Limiter.Queued == 1 })
			c.lose(t, r)
			r.letGo()
			<-first
			refusal := <-second
			is.True(refusal != nil)
			is.Equal(refusal.Outcome, outcome.NotRun)
			is.Equal(refusal.Reason, c.reason)
			is.Equal(r.seen.Load(), int64(1)) // the target saw only the first
			is.Equal(r.gate.Status().Limiter.Running, 0)
		})
	}
}

func (r *rig) follow(t *testing.T, e table.Entry) {
	v := r.view(t, r.members.View().Table.Revision()+1, e)
	r.members.SetView(v)
	r.gate.ApplyView(v)
}

// TestLeaseEndsRequestsAtTarget guards against a request that goes on at the
// target after the lease that allowed it.
func TestLeaseEndsRequestsAtTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	done := r.send(context.Background(), 5*time.Second)
	await(t, "the request at the target", func() bool { return r.seen.Load() == 1 })
	time.Sleep(30 * time.Millisecond) // the watch has seen the lease
	r.members.SetLease(0)
	select {
	case refusal := <-done:
		is.Equal(refusal.Outcome, outcome.Unknown)
	case <-time.After(time.Second):
		t.Fatal("the request was not cancelled within 1 s of the lease")
	}
}

// TestReleaseWaitsForRequests guards against reporting a moving unit as
// released while a request of it runs.
func TestReleaseWaitsForRequests(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	done := r.send(context.Background(), 5*time.Second)
	await(t, "the request at the target", func() bool { return r.seen.Load() == 1 })
	moving := table.Entry{Unit: unitK, Owner: "self", Epoch: 3, Phase: table.Moving, NextOwner: "other"}
	r.follow(t, moving)
	is.Equal(len(r.gate.Report().Released), 0)
	wakes := r.members.Wakes()
	refusal := <-r.send(context.Background(), time.Second)
	is.Equal(refusal.Reason, outcome.ReasonNotOwner) // nothing new starts
	r.letGo()
	is.True(<-done == nil) // what runs is completed
	await(t, "the release", func() bool { return len(r.gate.Report().Released) == 1 })
	is.Equal(r.gate.Report().Released[0].Epoch, uint64(3))
	is.True(r.members.Wakes() > wakes) // control hears of it at once
	r.follow(t, table.Entry{Unit: unitK, Owner: "other", Epoch: 4, Phase: table.Serving})
	is.Equal(len(r.gate.Report().Released), 0)
}

// TestStoppingUnitStartsNothing guards against a request that saw the table
// before a move and starts after the unit was reported as released.
func TestStoppingUnitStartsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	r.letGo()
	r.gate.ApplyView(r.view(t, 2, table.Entry{Unit: unitK, Owner: "self", Epoch: 3, Phase: table.Moving, NextOwner: "other"}))
	is.Equal(len(r.gate.Report().Released), 1)
	refusal := <-r.send(context.Background(), time.Second)
	is.True(refusal != nil)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(r.seen.Load(), int64(0))
}

// TestCancelsLeakNothing guards against slots, queue places or unit counts
// that cancelled requests leave behind.
func TestCancelsLeakNothing(t *testing.T) {
	is := is.New(t)
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	r := newRig(t, 3)
	cancelled := func(requests, within int) {
		ends := make([]chan *outcome.Refusal, 0, requests)
		for range requests {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Duration(random.IntN(within))*time.Microsecond, cancel)
			ends = append(ends, r.send(ctx, time.Duration(1+random.IntN(40))*time.Millisecond))
			if random.IntN(4) == 0 {
				time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
			}
		}
		for _, end := range ends {
			<-end
		}
		st := r.gate.Status()
		// A cancelled request may run at the target until the deadline that it
		// was given, of 40 ms at most, and its key counts as running until then.
		for end := time.Now().Add(time.Second); st.InFlight > 0 && time.Now().Before(end); st = r.gate.Status() {
			time.Sleep(time.Millisecond)
		}
		is.Equal(st.Limiter.Running, 0)
		is.Equal(st.Limiter.Queued, 0)
		is.Equal(st.InFlight, 0)
	}
	cancelled(2_000, 20_000) // the target answers none
	r.letGo()
	cancelled(5_000, 2_000) // slots are freed and taken all the time
	for range 3 {
		is.True(<-r.send(context.Background(), 5*time.Second) == nil) // every slot still serves
	}
}
