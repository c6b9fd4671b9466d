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

func issued(at time.Duration) func(*idempotency.Request) {
	return func(r *idempotency.Request) { r.IssuedAtMs = at.Milliseconds() }
}

// TestLifetime guards against a second run within the lifetime and against a
// key that stays bound for ever.
func TestLifetime(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	first := r.now.Wall
	is.Equal(describe(r.pay(1, "k")), "dispatch 1")
	is.Equal(describe(r.finish(1, "paid")), "reply 1 paid false")

	r.advance(testDay - time.Second)
	is.Equal(describe(r.pay(2, "k")), "reply 2 paid true")
	is.Equal(describe(r.pay(3, "k", issued(first))), "reply 3 paid true")

	// A caller whose clock is 30 s ahead calls this request one day old.
	r.advance(20 * time.Second)
	is.Equal(describe(r.pay(4, "k", issued(first+30*time.Second))), "reply 4 paid true")
	is.Equal(describe(r.pay(5, "k", issued(first))), "refuse 5 unknown record-expired")
	is.Equal(describe(r.pay(6, "k", issued(r.now.Wall+time.Hour))), "refuse 6 not-run bad-request")
	is.Equal(describe(r.pay(7, "k")), "dispatch 7")
}

// TestExpiryFreesMemory guards against records that are kept for ever at the
// owner or at a copy.
func TestExpiryFreesMemory(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	for i := range uint64(300) {
		r.pay(i+1, fmt.Sprint("k", i))
		r.finish(i+1, "paid")
	}
	is.Equal(r.owner.Status().Units[0].Records, 300)
	is.Equal(r.copies["b"].Status().Records, 300)
	r.advance(testDay + 2*time.Minute)
	r.advance(time.Millisecond)
	for range 2 {
		r.copies["b"].Tick(r.now)
	}
	is.Equal(r.owner.Status().Units[0].Records, 0)
	is.Equal(r.owner.Status().Units[0].Bytes, int64(0))
	is.Equal(r.copies["b"].Status(), idempotency.CopyStatus{Complete: 1})
}

// TestCopyDown guards against dispatch without a copy, and against an answer
// that is kept back although the request ran.
func TestCopyDown(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	r.down["b"] = true
	is.Equal(describe(r.pay(1, "k")), "")
	is.Equal(describe(r.advance(999*time.Millisecond)), "")
	is.Equal(describe(r.advance(time.Millisecond)), "refuse 1 not-run no-record-copies")

	r.down["b"] = false
	is.Equal(describe(r.pay(2, "k")), "dispatch 2")
	r.down["b"] = true
	is.Equal(describe(r.finish(2, "paid")), "")
	is.Equal(describe(r.pay(3, "k")), "") // waits like the first
	is.Equal(describe(r.advance(994*time.Millisecond)), "")
	is.Equal(describe(r.advance(time.Millisecond)), "reply 2 paid false, reply 3 paid true")

	// The finished record still reaches the copy.
	r.down["b"] = false
	r.advance(200 * time.Millisecond)
	page := r.copies["b"].Fetch(r.now, idempotency.FetchRequest{Unit: testUnit, Epoch: 3})
	is.Equal(page.Records[0].State, idempotency.Finished)
}

// TestNoRemoteCopy guards against a payment whose record is in one data
// centre only.
func TestNoRemoteCopy(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	near := idempotency.Member{ID: "c", DataCentre: "north"}
	r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{Unit: testUnit, Epoch: 3, Joining: []idempotency.Member{near}}))
	r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{Unit: testUnit, Epoch: 4, Copies: []idempotency.Member{near}}))
	is.Equal(describe(r.pay(1, "k")), "refuse 1 not-run no-record-copies")
	// A joining copy in another data centre lets the request wait for it.
	r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 5, Copies: []idempotency.Member{near}, Joining: []idempotency.Member{testCopy},
	}))
	is.Equal(describe(r.pay(2, "k")), "")
	is.Equal(describe(r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 6, Copies: []idempotency.Member{near, testCopy},
	}))), "Ready, dispatch 2")
}

// TestDoubleTap guards against a second dispatch of the same key, and against
// repeats that are lost when the first try does not run.
func TestDoubleTap(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{})
	is.Equal(describe(r.pay(1, "k")), "dispatch 1")
	is.Equal(describe(r.pay(2, "k")), "")
	is.Equal(describe(r.pay(3, "k", func(q *idempotency.Request) { q.Digest[0] = 1 })), "refuse 3 not-run body-mismatch")
	is.Equal(describe(r.do(r.owner.NotDispatched(r.now, 1))), "dispatch 2")
	is.Equal(describe(r.pay(4, "k", func(q *idempotency.Request) { q.Deadline = r.now.Add(time.Millisecond) })), "")
	is.Equal(describe(r.advance(time.Millisecond)), "refuse 4 unknown in-progress")
	is.Equal(describe(r.pay(5, "k")), "")
	is.Equal(describe(r.do(r.owner.ResponseLost(r.now, 2))), "refuse 2 unknown upstream-broken, refuse 5 unknown upstream-broken")
	is.Equal(describe(r.finish(2, "late")), "")
	is.Equal(describe(r.pay(6, "k")), "refuse 6 unknown upstream-broken")
	is.Equal(r.owner.Status().InFlight, 0)
}

// TestRecordsLost guards against runs of payments whose records may be lost.
func TestRecordsLost(t *testing.T) {
	is := is.New(t)
	r := newRig(idempotency.Config{})
	lost := idempotency.Assignment{Unit: testUnit, Epoch: 5, RecordsLost: true, Joining: []idempotency.Member{testCopy}}
	r.do(r.owner.ApplyAssignment(r.now, lost))
	lost.Epoch, lost.Copies, lost.Joining = 6, lost.Joining, nil
	r.do(r.owner.ApplyAssignment(r.now, lost))
	is.Equal(describe(r.pay(1, "k")), "refuse 1 unknown records-lost")

	// The next owner learns the time of the loss from the copy.
	r.advance(testDay / 2)
	next := newRig(idempotency.Config{})
	next.now = r.now
	taken := idempotency.Assignment{
		Unit: testUnit, Epoch: 7, RecordsLost: true, Joining: []idempotency.Member{{ID: "c", DataCentre: "south"}},
		Sources: []idempotency.Member{{ID: "a"}}, LocalRecords: r.copies["b"].Detach(r.now, testUnit, 7),
	}
	next.do(next.owner.ApplyAssignment(next.now, taken))
	taken.Epoch, taken.Copies, taken.Joining, taken.LocalRecords = 8, taken.Joining, nil, nil
	next.do(next.owner.ApplyAssignment(next.now, taken))
	next.advance(testDay/2 + time.Minute)
	is.Equal(describe(next.pay(1, "k")), "refuse 1 unknown records-lost")
	next.advance(time.Second)
	is.Equal(describe(next.pay(2, "k")), "dispatch 2")
}

// TestLimits guards against memory without bound and bodies that are recorded
// beyond the limit.
func TestLimits(t *testing.T) {
	is := is.New(t)
	r := servingRig(idempotency.Config{MaxBytes: 1000, MaxInFlight: 2})
	is.Equal(describe(r.pay(1, "k")), "dispatch 1")
	is.Equal(describe(r.pay(2, "k")), "")
	is.Equal(describe(r.pay(3, "k")), "refuse 3 not-run overloaded")
	large := strings.Repeat("x", idempotency.MaxBodyBytes+1)
	first := r.finish(1, large)
	is.Equal(len(first[0].(idempotency.Reply).Response.Body), len(large))
	repeat := first[1].(idempotency.Reply)
	is.Equal(repeat.Response, &idempotency.Response{Status: 201, BodyOmitted: true})
	for i := range uint64(3) {
		r.pay(10+i, fmt.Sprint("n", i))
		r.finish(10+i, "paid")
	}
	is.Equal(describe(r.pay(20, "other")), "refuse 20 not-run overloaded")
}
