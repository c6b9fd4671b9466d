package idempotency_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/table"
)

// TestFetchRaisesFence guards against a previous owner that still gets
// acknowledgements after the new owner has read the copy.
func TestFetchRaisesFence(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	is.Equal(describe(r.pay(1, "k")), "dispatch 1")
	r.copies["b"].Fetch(r.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 3, Owner: "c"})
	is.Equal(describe(r.pay(2, "new")), "refuse 2 not-run not-owner, Released")
	is.Equal(describe(r.finish(1, "paid")), "reply 1 paid false")
}

// TestOwnerIsFenced guards against an owner that goes on after another owner
// has read its records.
func TestOwnerIsFenced(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.down["b"] = true
	writes := r.owner.Begin(r.now, idempotency.Request{ID: 1, Unit: testUnit, Key: "k"})
	is.Equal(describe(r.do(r.owner.Fence(r.now, testUnit, 2))), "")
	is.Equal(describe(r.do(r.owner.Fence(r.now, testUnit, 3))), "refuse 1 not-run not-owner, Released")
	r.down["b"] = false
	is.Equal(describe(r.do(writes)), "")
}

// TestStaleHeld guards against an owner that continues with records of an
// earlier ownership although another member owned the unit since.
func TestStaleHeld(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	dropped := r.owner.Release(r.now, testUnit)
	own := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "a", Incarnation: 1})
	own.Attach(r.now, dropped[0].(idempotency.Released).Records)
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 9, Sources: []idempotency.Member{{ID: "c"}, testCopy}, LocalRecords: own.Detach(r.now, testUnit, 9),
	}))), "fetch c")
	// The next source is asked at once, and the owner waits after all failed.
	is.Equal(describe(r.do(r.owner.FetchFailed(r.now, 0))), "")
	fetch := r.advance(100 * time.Millisecond)[0].(idempotency.Fetch)
	is.Equal(fetch.From, table.MemberID("b"))
	is.Equal(describe(r.do(r.owner.Fetched(r.now, r.copies["b"].Fetch(r.now, fetch.FetchRequest)))), "Ready")
}

// TestStaleOwner guards against an owner that was frozen through another
// ownership of its unit and goes on with the records of its own.
func TestStaleOwner(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.down["b"] = true
	is.Equal(describe(r.pay(1, "k")), "")
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 7, Sources: []idempotency.Member{{ID: "c"}}, Copies: []idempotency.Member{testCopy},
	}))), "refuse 1 not-run not-owner, fetch c")
	is.Equal(describe(r.pay(2, "k")), "") // waits for the records
	is.Equal(describe(r.advance(time.Second)), "refuse 2 not-run owner-recovering, fetch b")
}

// TestCopyRestarted guards against dispatch on account of a copy that the
// table calls in sync and that has restarted. It has forgotten its fence, so
// an owner that was frozen must not fill it either, not even to complete a
// join that began before the copy was called in sync.
func TestCopyRestarted(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	c := []idempotency.Member{{ID: "c", DataCentre: "south"}}
	r.hold = func(w idempotency.Write) bool { return w.Step == idempotency.TransferLast }
	a := idempotency.Assignment{Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Joining: c}
	r.do(r.owner.ApplyAssignment(r.now, a))
	r.hold = nil
	a.Epoch, a.Copies, a.Joining = 4, c, nil
	r.do(r.owner.ApplyAssignment(r.now, a))
	is.Equal(describe(r.pay(1, "k")), "")
	is.Equal(describe(r.advance(time.Second)), "refuse 1 not-run no-record-copies")

	// It acknowledged a record while it joined, and is not complete.
	r = servingRig(idempotency.Config{})
	r.hold = func(w idempotency.Write) bool { return w.Step == idempotency.TransferLast }
	a = idempotency.Assignment{Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Joining: c}
	r.do(r.owner.ApplyAssignment(r.now, a))
	r.down["b"] = true
	is.Equal(describe(r.pay(4, "k")), "")
	r.down["b"] = false
	a.Epoch, a.Copies, a.Joining = 4, append(a.Copies, c...), nil
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, a))), "Ready")
	is.Equal(describe(r.advance(500*time.Millisecond)), "")

	r = servingRig(idempotency.Config{})
	is.Equal(describe(r.pay(2, "k")), "dispatch 2")
	r.copies["b"] = idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 22})
	is.Equal(describe(r.pay(3, "other")), "")
	is.Equal(describe(r.advance(time.Second)), "refuse 3 not-run no-record-copies")
	is.Equal(r.copies["b"].Status(), idempotency.CopyStatus{})
}

// TestRestartedWhileJoining guards against a copy that is reported in sync
// because its former process was: the owner misses the table in between.
func TestRestartedWhileJoining(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	c := []idempotency.Member{{ID: "c", DataCentre: "south"}}
	a := idempotency.Assignment{Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Joining: c}
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, a))), "Ready, Synced")
	r.copies["c"] = idempotency.NewCopyStore(idempotency.CopyConfig{Self: "c", Incarnation: 33})
	a.Epoch, a.Sources = 5, []idempotency.Member{{ID: "a"}, testCopy}
	r.down["c"] = true
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, a))), "Ready")
	is.Equal(describe(r.advance(time.Second)), "")
	r.down["c"] = false
	is.Equal(describe(r.advance(time.Second)), "Synced")
	is.Equal(r.copies["c"].Status().Complete, 1)
}

// TestInterruptedJoin guards against the loss of complete records because an
// owner began to fill the copy again and was lost before it had finished.
func TestInterruptedJoin(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.pay(1, "k")
	open := idempotency.WriteRequest{Unit: testUnit, Epoch: 3, Transfer: idempotency.TransferID{Epoch: 3, Seq: 1}, Step: idempotency.TransferBegin}
	is.True(r.copies["b"].Write(r.now, open).Accepted)
	is.Equal(r.copies["b"].Status().Filling, 1)
	page := r.copies["b"].Fetch(r.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 4})
	is.Equal(page.Problem, idempotency.RejectReason(""))
	is.Equal(len(page.Records), 1)
	is.Equal(r.copies["b"].Detach(r.now, testUnit, 5).Len(), 1)
	is.Equal(r.copies["b"].Status(), idempotency.CopyStatus{})
}

// TestFreshUnit guards against a unit that never serves because its first
// owner was lost before it had a copy, and against dispatch while fresh.
func TestFreshUnit(t *testing.T) {
	is := is.New(t)
	r := newRig(idempotency.Config{})
	a := idempotency.Assignment{
		Unit: testUnit, Epoch: 5, NeverSynced: true, Sources: []idempotency.Member{{ID: "c"}}, Copies: []idempotency.Member{testCopy},
	}
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, a))), "Ready, Synced")
	is.Equal(describe(r.pay(1, "k")), "")
	a.Epoch, a.NeverSynced = 6, false
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, a))), "Ready, dispatch 1")
}

// TestPeersForgotten guards against a copy that is reported in sync because
// this member filled it in an earlier ownership.
func TestPeersForgotten(t *testing.T) {
	is := is.New(t)
	r := newRig(idempotency.Config{})
	a := idempotency.Assignment{Unit: testUnit, Epoch: 1, NeverSynced: true, Joining: []idempotency.Member{testCopy}}
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, a))), "Ready, Synced")
	a.Epoch, a.NeverSynced, a.Sources = 9, false, []idempotency.Member{{ID: "c"}}
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, a))), "fetch c")
	is.Equal(describe(r.advance(2*time.Second)), "fetch c")
	fetch := r.advance(2 * time.Second)[0].(idempotency.Fetch)
	r.hold = func(w idempotency.Write) bool { return w.Step == idempotency.TransferLast }
	reply := idempotency.FetchReply{Seq: fetch.Seq, Unit: testUnit, From: "c", Epoch: 9, Last: true}
	is.Equal(describe(r.do(r.owner.Fetched(r.now, reply))), "Ready")
}

// TestIncompleteCopy guards against a copy that answers for records that it
// does not have: during a join, after a restart and after a delayed message.
func TestIncompleteCopy(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	join := idempotency.TransferID{Epoch: 4, Seq: 9}
	open := idempotency.WriteRequest{Unit: testUnit, Epoch: 4, Transfer: join, Step: idempotency.TransferBegin}
	last := open
	last.Step, last.Incarnation = idempotency.TransferLast, 2
	last.Records = []idempotency.Record{{Key: "k", State: idempotency.Started, Epoch: 4, Version: 1}}
	plain := idempotency.WriteRequest{Unit: testUnit, Epoch: 4}
	problem := func(c *idempotency.CopyStore) idempotency.RejectReason {
		return c.Fetch(now, idempotency.FetchRequest{Unit: testUnit, Epoch: 4}).Problem
	}

	c := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 2})
	is.Equal(c.Write(now, plain).Problem, idempotency.ProblemNotHeld)
	is.True(c.Write(now, open).Accepted)
	is.Equal(problem(c), idempotency.ProblemNotHeld)
	is.True(c.Write(now, last).Accepted)
	is.Equal(problem(c), idempotency.RejectReason(""))
	is.True(c.Write(now, open).Accepted) // duplicate
	is.Equal(c.Status().Records, 1)

	restarted := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 3})
	is.True(restarted.Write(now, open).Accepted)
	is.Equal(restarted.Write(now, last).Problem, idempotency.ProblemNotHeld)
	is.Equal(problem(restarted), idempotency.ProblemNotHeld)

	older := open
	older.Transfer.Seq = 8
	is.Equal(c.Write(now, older).Problem, idempotency.ProblemNotHeld)
}

// TestLateRecord guards against a delayed record that replaces a newer one: a
// late refused record would let a new owner run the key again.
func TestLateRecord(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	var late []idempotency.Action
	is.Equal(describe(r.pay(1, "k")), "dispatch 1")
	r.hold = func(w idempotency.Write) bool { late = append(late, w); return true }
	r.do(r.owner.NotDispatched(r.now, 1))
	r.hold = nil
	is.Equal(describe(r.pay(2, "k")), "dispatch 2")
	is.Equal(describe(r.do(late)), "")
	page := r.copies["b"].Fetch(r.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 3})
	is.Equal(page.Records[0].State, idempotency.Started)
}

// TestCrossedAnswer guards against the answer to another request that is taken
// for that of a request which was not dispatched.
func TestCrossedAnswer(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.down["b"] = true
	is.Equal(describe(r.pay(1, "k")), "")
	is.Equal(describe(r.finish(1, "crossed")), "")
	is.Equal(describe(r.do(r.owner.ResponseLost(r.now, 1))), "")
	is.Equal(describe(r.do(r.owner.NotDispatched(r.now, 1))), "")
	r.down["b"] = false
	is.Equal(describe(r.advance(100*time.Millisecond)), "dispatch 1")
}
