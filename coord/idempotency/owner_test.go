package idempotency_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/idempotency"
)

// describe renders actions as short text.
func describe(actions []idempotency.Action) string {
	var parts []string
	for _, action := range actions {
		switch a := action.(type) {
		case idempotency.Dispatch:
			parts = append(parts, fmt.Sprintf("dispatch %d", a.ID))
		case idempotency.Reply:
			parts = append(parts, fmt.Sprintf("reply %d %s %t", a.ID, a.Response.Body, a.Replayed))
		case idempotency.Refuse:
			parts = append(parts, fmt.Sprintf("refuse %d %s %s", a.ID, a.Refusal.Outcome, a.Refusal.Reason))
		case idempotency.Fetch:
			parts = append(parts, fmt.Sprintf("fetch %s", a.From))
		default:
			parts = append(parts, strings.TrimPrefix(fmt.Sprintf("%T", a), "idempotency."))
		}
	}
	return strings.Join(parts, ", ")
}

func issuedAt(at time.Duration) func(*idempotency.Request) {
	return func(r *idempotency.Request) { r.IssuedAtMs = at.Milliseconds() }
}

// TestLifetime guards against a second run of a key within the lifetime of its
// record, and against a key that can never be used again.
func TestLifetime(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	first := f.now.Wall
	is.Equal(describe(f.pay(1, "k")), "dispatch 1")
	is.Equal(describe(f.finish(1, "paid")), "reply 1 paid false")

	f.advance(testDay - time.Second)
	is.Equal(describe(f.pay(2, "k")), "reply 2 paid true")
	is.Equal(describe(f.pay(3, "k", issuedAt(first))), "reply 3 paid true")

	// The caller's clock is 30 s ahead: by this owner's clock its time of issue is
	// 30 s too late. By the same clock the lifetime of the record has ended, but the
	// request is less than a day old, so the record must still be found.
	f.advance(20 * time.Second)
	is.Equal(describe(f.pay(4, "k", issuedAt(first+30*time.Second))), "reply 4 paid true")
	is.Equal(describe(f.pay(5, "k", issuedAt(first))), "refuse 5 unknown record-expired")
	is.Equal(describe(f.pay(6, "k", issuedAt(f.now.Wall+time.Hour))), "refuse 6 not-run bad-request")
	is.Equal(describe(f.pay(7, "k")), "dispatch 7")
}

// TestExpiryFreesMemory guards against expired records that the owner or a copy
// never removes.
func TestExpiryFreesMemory(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	for i := range uint64(300) {
		f.pay(i+1, fmt.Sprint("k", i))
		f.finish(i+1, "paid")
	}
	is.Equal(f.owner.Status().Units[0].Records, 300)
	is.Equal(f.copies["b"].Status().Records, 300)
	f.advance(testDay + 2*time.Minute)
	f.advance(time.Millisecond)
	for range 2 {
		f.copies["b"].Tick(f.now)
	}
	is.Equal(f.owner.Status().Units[0].Records, 0)
	is.Equal(f.owner.Status().Units[0].Bytes, int64(0))
	is.Equal(f.copies["b"].Status(), idempotency.CopyStatus{Complete: 1})
}

// TestCopyDown guards against dispatch without the acknowledgement of the copy, and
// against a response that is not sent to the caller because the copy is down.
func TestCopyDown(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	f.down["b"] = true
	is.Equal(describe(f.pay(1, "k")), "")
	is.Equal(describe(f.advance(999*time.Millisecond)), "")
	is.Equal(describe(f.advance(time.Millisecond)), "refuse 1 not-run no-record-copies")

	f.down["b"] = false
	is.Equal(describe(f.pay(2, "k")), "dispatch 2")
	f.down["b"] = true
	is.Equal(describe(f.finish(2, "paid")), "")
	is.Equal(describe(f.pay(3, "k")), "") // waits like the first
	is.Equal(describe(f.advance(994*time.Millisecond)), "")
	is.Equal(describe(f.advance(time.Millisecond)), "reply 2 paid false, reply 3 paid true")

	// The finished record still reaches the copy.
	f.down["b"] = false
	f.advance(200 * time.Millisecond)
	page := f.copies["b"].Fetch(f.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 3})
	is.Equal(page.Records[0].State, idempotency.Finished)
}

// TestNoRemoteCopy guards against dispatch of a payment whose record is in one
// data centre only.
func TestNoRemoteCopy(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	local := idempotency.Member{ID: "c", DataCentre: "north"}
	f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{Unit: testUnit, Epoch: 3, Syncing: []idempotency.Member{local}}))
	f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{Unit: testUnit, Epoch: 4, Copies: []idempotency.Member{local}}))
	is.Equal(describe(f.pay(1, "k")), "refuse 1 not-run no-record-copies")
	// With a syncing copy in another data centre the request waits for that copy.
	f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 5, Copies: []idempotency.Member{local}, Syncing: []idempotency.Member{testCopy},
	}))
	is.Equal(describe(f.pay(2, "k")), "")
	is.Equal(describe(f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 6, Copies: []idempotency.Member{local, testCopy},
	}))), "Ready, dispatch 2")
}

// TestConcurrentRequestsWithOneKey guards against a second dispatch of the same key,
// and against waiting retries that get no answer when the first try does not run.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{})
	is.Equal(describe(f.pay(1, "k")), "dispatch 1")
	is.Equal(describe(f.pay(2, "k")), "")
	is.Equal(describe(f.pay(3, "k", func(q *idempotency.Request) { q.Digest[0] = 1 })), "refuse 3 not-run body-mismatch")
	is.Equal(describe(f.do(f.owner.NotDispatched(f.now, 1))), "dispatch 2")
	is.Equal(describe(f.pay(4, "k", func(q *idempotency.Request) { q.Deadline = f.now.Add(time.Millisecond) })), "")
	is.Equal(describe(f.advance(time.Millisecond)), "refuse 4 unknown in-progress")
	is.Equal(describe(f.pay(5, "k")), "")
	is.Equal(describe(f.do(f.owner.ResponseLost(f.now, 2))), "refuse 2 unknown upstream-broken, refuse 5 unknown upstream-broken")
	is.Equal(describe(f.finish(2, "late")), "")
	is.Equal(describe(f.pay(6, "k")), "refuse 6 unknown upstream-broken")
	is.Equal(f.owner.Status().InFlight, 0)
}

// TestRecordsLost guards against a second run of payments whose records may have
// been lost, also by the owners that follow.
func TestRecordsLost(t *testing.T) {
	is := is.New(t)
	f := newFixture(idempotency.Config{})
	lost := idempotency.Assignment{Unit: testUnit, Epoch: 5, RecordsLost: true, Syncing: []idempotency.Member{testCopy}}
	f.do(f.owner.ApplyAssignment(f.now, lost))
	lost.Epoch, lost.Copies, lost.Syncing = 6, lost.Syncing, nil
	f.do(f.owner.ApplyAssignment(f.now, lost))
	is.Equal(describe(f.pay(1, "k")), "refuse 1 unknown records-lost")

	// The next owner gets the time of the loss from the copy's records.
	f.advance(testDay / 2)
	next := newFixture(idempotency.Config{})
	next.now = f.now
	taken := idempotency.Assignment{
		Unit: testUnit, Epoch: 7, RecordsLost: true, Syncing: []idempotency.Member{{ID: "c", DataCentre: "south"}},
		Sources: []idempotency.Member{{ID: "a"}}, LocalRecords: f.copies["b"].Detach(f.now, testUnit, 7),
	}
	next.do(next.owner.ApplyAssignment(next.now, taken))
	taken.Epoch, taken.Copies, taken.Syncing, taken.LocalRecords = 8, taken.Syncing, nil, nil
	next.do(next.owner.ApplyAssignment(next.now, taken))
	next.advance(testDay/2 + time.Minute)
	is.Equal(describe(next.pay(1, "k")), "refuse 1 unknown records-lost")
	next.advance(time.Second)
	is.Equal(describe(next.pay(2, "k")), "dispatch 2")
}

// TestLimits guards against more requests or records than the limits allow, and
// against recorded bodies above MaxBodyBytes.
func TestLimits(t *testing.T) {
	is := is.New(t)
	f := newServingFixture(idempotency.Config{MaxBytes: 1000, MaxInFlight: 2})
	is.Equal(describe(f.pay(1, "k")), "dispatch 1")
	is.Equal(describe(f.pay(2, "k")), "")
	is.Equal(describe(f.pay(3, "k")), "refuse 3 not-run overloaded")
	large := strings.Repeat("x", idempotency.MaxBodyBytes+1)
	first := f.finish(1, large)
	is.Equal(len(first[0].(idempotency.Reply).Response.Body), len(large))
	retry := first[1].(idempotency.Reply)
	is.Equal(retry.Response, &idempotency.Response{Status: 201, BodyOmitted: true})
	for i := range uint64(3) {
		f.pay(10+i, fmt.Sprint("n", i))
		f.finish(10+i, "paid")
	}
	is.Equal(describe(f.pay(20, "other")), "refuse 20 not-run overloaded")
}
