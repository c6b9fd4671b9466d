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
// acknowledgements after the new owner has fetched the records of the copy.
func TestFetchRaisesFence(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	is.Equal(describe(f.pay(1, "k")), "dispatch 1")
	f.copies["b"].Fetch(f.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 3, Owner: "c"})
	is.Equal(describe(f.pay(2, "new")), "refuse 2 not-run not-owner, Released")
	is.Equal(describe(f.finish(1, "paid")), "reply 1 paid false")
}

// TestOwnerIsFenced guards against an owner that continues to dispatch after
// another owner has fetched its records.
func TestOwnerIsFenced(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	f.down["b"] = true
	writes := f.owner.Begin(f.now, idempotency.Request{ID: 1, Unit: testUnit, Key: "k"})
	is.Equal(describe(f.do(f.owner.Fence(f.now, testUnit, 2))), "")
	is.Equal(describe(f.do(f.owner.Fence(f.now, testUnit, 3))), "refuse 1 not-run not-owner, Released")
	f.down["b"] = false
	is.Equal(describe(f.do(writes)), "")
}

// TestOutdatedLocalRecords guards against an owner that uses its local records of an
// earlier ownership although another member has owned the unit since.
func TestOutdatedLocalRecords(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	released := f.owner.Release(f.now, testUnit)
	local := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "a", Incarnation: 1})
	local.Attach(f.now, released[0].(idempotency.Released).Records)
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 9, Sources: []idempotency.Member{{ID: "c"}, testCopy}, LocalRecords: local.Detach(f.now, testUnit, 9),
	}))), "fetch c")
	// A failure of another fetch is ignored. After the time-out the next source is
	// tried.
	is.Equal(describe(f.do(f.owner.FetchFailed(f.now, 0))), "")
	fetch := f.advance(100 * time.Millisecond)[0].(idempotency.Fetch)
	is.Equal(fetch.From, table.MemberID("b"))
	is.Equal(describe(f.do(f.owner.Fetched(f.now, f.copies["b"].Fetch(f.now, fetch.FetchRequest)))), "Ready")
}

// TestMissedOwnershipChange guards against an owner that was frozen while another
// member owned its unit, and then continues with its former records.
func TestMissedOwnershipChange(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	f.down["b"] = true
	is.Equal(describe(f.pay(1, "k")), "")
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 7, Sources: []idempotency.Member{{ID: "c"}}, Copies: []idempotency.Member{testCopy},
	}))), "refuse 1 not-run not-owner, fetch c")
	is.Equal(describe(f.pay(2, "k")), "") // waits for the records
	is.Equal(describe(f.advance(time.Second)), "refuse 2 not-run owner-recovering, fetch b")
}

// TestCopyRestarted guards against dispatch after the acknowledgement of a copy
// that the table lists as in sync but that has restarted. It has lost its fence, so
// an owner that was frozen must not send it all records either, not even to complete
// a transfer that began before the copy was listed as in sync.
func TestCopyRestarted(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	c := []idempotency.Member{{ID: "c", DataCentre: "south"}}
	f.dropWrite = func(w idempotency.Write) bool { return w.Step == idempotency.TransferLast }
	a := idempotency.Assignment{Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Syncing: c}
	f.do(f.owner.ApplyAssignment(f.now, a))
	f.dropWrite = nil
	a.Epoch, a.Copies, a.Syncing = 4, c, nil
	f.do(f.owner.ApplyAssignment(f.now, a))
	is.Equal(describe(f.pay(1, "k")), "")
	is.Equal(describe(f.advance(time.Second)), "refuse 1 not-run no-record-copies")

	// The copy acknowledged a record during the transfer, but does not have all
	// records.
	f = newServingFixture(idempotency.Config{})
	f.dropWrite = func(w idempotency.Write) bool { return w.Step == idempotency.TransferLast }
	a = idempotency.Assignment{Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Syncing: c}
	f.do(f.owner.ApplyAssignment(f.now, a))
	f.down["b"] = true
	is.Equal(describe(f.pay(4, "k")), "")
	f.down["b"] = false
	a.Epoch, a.Copies, a.Syncing = 4, append(a.Copies, c...), nil
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, a))), "Ready")
	is.Equal(describe(f.advance(500*time.Millisecond)), "")

	f = newServingFixture(idempotency.Config{})
	is.Equal(describe(f.pay(2, "k")), "dispatch 2")
	f.copies["b"] = idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 22})
	is.Equal(describe(f.pay(3, "other")), "")
	is.Equal(describe(f.advance(time.Second)), "refuse 3 not-run no-record-copies")
	is.Equal(f.copies["b"].Status(), idempotency.CopyStatus{})
}

// TestRestartedWhileSyncing guards against a copy that is reported Synced because
// it had all records before it restarted. The owner misses the table in between,
// so it sees the copy as syncing before and after.
func TestRestartedWhileSyncing(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	c := []idempotency.Member{{ID: "c", DataCentre: "south"}}
	a := idempotency.Assignment{Unit: testUnit, Epoch: 3, Copies: []idempotency.Member{testCopy}, Syncing: c}
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, a))), "Ready, Synced")
	f.copies["c"] = idempotency.NewCopyStore(idempotency.CopyConfig{Self: "c", Incarnation: 33})
	a.Epoch, a.Sources = 5, []idempotency.Member{{ID: "a"}, testCopy}
	f.down["c"] = true
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, a))), "Ready")
	is.Equal(describe(f.advance(time.Second)), "")
	f.down["c"] = false
	is.Equal(describe(f.advance(time.Second)), "Synced")
	is.Equal(f.copies["c"].Status().Complete, 1)
}

// TestInterruptedTransfer guards against the loss of complete records when an
// owner begins another transfer to the copy and is lost before it ends.
func TestInterruptedTransfer(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	f.pay(1, "k")
	begin := idempotency.WriteRequest{Unit: testUnit, Epoch: 3, Transfer: idempotency.TransferID{Epoch: 3, Seq: 1}, Step: idempotency.TransferBegin}
	is.True(f.copies["b"].Write(f.now, begin).Accepted)
	is.Equal(f.copies["b"].Status().Syncing, 1)
	page := f.copies["b"].Fetch(f.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 4})
	is.Equal(page.Reason, idempotency.RejectReason(""))
	is.Equal(len(page.Records), 1)
	is.Equal(f.copies["b"].Detach(f.now, testUnit, 5).Len(), 1)
	is.Equal(f.copies["b"].Status(), idempotency.CopyStatus{})
}

// TestNeverSyncedUnit guards against a unit that never serves because its first
// owner was lost before it had a copy, and against dispatch while no copy is in
// sync.
func TestNeverSyncedUnit(t *testing.T) {
	is := is.New(t)
	f := newFixture(idempotency.Config{})
	a := idempotency.Assignment{
		Unit: testUnit, Epoch: 5, NeverSynced: true, Sources: []idempotency.Member{{ID: "c"}}, Copies: []idempotency.Member{testCopy},
	}
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, a))), "Ready, Synced")
	is.Equal(describe(f.pay(1, "k")), "")
	a.Epoch, a.NeverSynced = 6, false
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, a))), "Ready, dispatch 1")
}

// TestCopyProgressReset guards against a copy that is reported Synced because of
// a transfer that this member completed in an earlier ownership.
func TestCopyProgressReset(t *testing.T) {
	is := is.New(t)
	f := newFixture(idempotency.Config{})
	a := idempotency.Assignment{Unit: testUnit, Epoch: 1, NeverSynced: true, Syncing: []idempotency.Member{testCopy}}
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, a))), "Ready, Synced")
	a.Epoch, a.NeverSynced, a.Sources = 9, false, []idempotency.Member{{ID: "c"}}
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, a))), "fetch c")
	is.Equal(describe(f.advance(2*time.Second)), "fetch c")
	fetch := f.advance(2 * time.Second)[0].(idempotency.Fetch)
	f.dropWrite = func(w idempotency.Write) bool { return w.Step == idempotency.TransferLast }
	reply := idempotency.FetchReply{Seq: fetch.Seq, Unit: testUnit, From: "c", Epoch: 9, Last: true}
	is.Equal(describe(f.do(f.owner.Fetched(f.now, reply))), "Ready")
}

// TestIncompleteCopy guards against a copy that answers a fetch or a write without
// having all records: during a transfer, after a restart and after a delayed
// message.
func TestIncompleteCopy(t *testing.T) {
	is := is.New(t)
	now := clock.At(time.Hour)
	transfer := idempotency.TransferID{Epoch: 4, Seq: 9}
	begin := idempotency.WriteRequest{Unit: testUnit, Epoch: 4, Transfer: transfer, Step: idempotency.TransferBegin}
	last := begin
	last.Step, last.Incarnation = idempotency.TransferLast, 2
	last.Records = []idempotency.Record{{Key: "k", State: idempotency.Started, Epoch: 4, Version: 1}}
	plain := idempotency.WriteRequest{Unit: testUnit, Epoch: 4}
	reason := func(c *idempotency.CopyStore) idempotency.RejectReason {
		return c.Fetch(now, idempotency.FetchRequest{Unit: testUnit, Epoch: 4}).Reason
	}

	c := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 2})
	is.Equal(c.Write(now, plain).Reason, idempotency.RejectIncomplete)
	is.True(c.Write(now, begin).Accepted)
	is.Equal(reason(c), idempotency.RejectIncomplete)
	is.True(c.Write(now, last).Accepted)
	is.Equal(reason(c), idempotency.RejectReason(""))
	is.True(c.Write(now, begin).Accepted) // duplicate
	is.Equal(c.Status().Records, 1)

	restarted := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 3})
	is.True(restarted.Write(now, begin).Accepted)
	is.Equal(restarted.Write(now, last).Reason, idempotency.RejectIncomplete)
	is.Equal(reason(restarted), idempotency.RejectIncomplete)

	older := begin
	older.Transfer.Seq = 8
	is.Equal(c.Write(now, older).Reason, idempotency.RejectIncomplete)
}

// TestLateRecord guards against a delayed record that replaces a newer one: a
// delayed record in the state NotDispatched would allow a new owner to run the key
// again.
func TestLateRecord(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	var late []idempotency.Action
	is.Equal(describe(f.pay(1, "k")), "dispatch 1")
	f.dropWrite = func(w idempotency.Write) bool { late = append(late, w); return true }
	f.do(f.owner.NotDispatched(f.now, 1))
	f.dropWrite = nil
	is.Equal(describe(f.pay(2, "k")), "dispatch 2")
	is.Equal(describe(f.do(late)), "")
	page := f.copies["b"].Fetch(f.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 3})
	is.Equal(page.Records[0].State, idempotency.Started)
}

// TestAnswerBeforeDispatch guards against an owner that accepts a result for a
// request that was not dispatched, such as the response to another request.
func TestAnswerBeforeDispatch(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	f.down["b"] = true
	is.Equal(describe(f.pay(1, "k")), "")
	is.Equal(describe(f.finish(1, "crossed")), "")
	is.Equal(describe(f.do(f.owner.ResponseLost(f.now, 1))), "")
	is.Equal(describe(f.do(f.owner.NotDispatched(f.now, 1))), "")
	f.down["b"] = false
	is.Equal(describe(f.advance(100*time.Millisecond)), "dispatch 1")
}
