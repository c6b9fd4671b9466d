package grant_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
)

const requestLease = 4 * time.Second

func secondsAt(s float64) clock.Reading { return clock.At(time.Duration(s * float64(time.Second))) }

// newRequester returns a requester with a lease since 100 s, where no grant of an
// earlier process is in force, and one assigned range.
func newRequester(assigned ...ranges.Range) *grant.Requester {
	q := grant.NewRequester(grant.DefaultRequestConfig(requestLease), self, 0)
	q.SetRanges(assigned)
	q.SetLease(secondsAt(100), requestLease)
	return q
}

func releasing(r ranges.Range) ranges.Range {
	r.Releasing = true
	return r
}

// only returns the only call that is due.
func only(t *testing.T, q *grant.Requester, now clock.Reading) grant.Call {
	t.Helper()
	calls := q.NextCalls(now)
	if len(calls) != 1 {
		t.Fatalf("%d calls are due", len(calls))
	}
	return calls[0]
}

// Guards against grants that outlast the lease if they arrive late or the target's
// clock runs slow, and against keys that are served without a confirmed grant.
func TestRequestedGrantEndsBeforeLease(t *testing.T) {
	is := is.New(t)
	q := newRequester(selfRange(0, 99, 3))
	c := only(t, q, secondsAt(101))
	is.Equal(c.Kind, grant.GrantCall)
	is.Equal(c.Range.Fence, uint64(3))
	arrival := 101*time.Second + c.Timeout
	is.True(arrival+time.Duration(1.02*float64(c.Duration)) <= 100*time.Second+requestLease)
	is.True(!q.MayServe(secondsAt(101), 50))
	q.HandleResult(secondsAt(101.01), c.ID, grant.CallResult{Outcome: grant.CallDone})
	is.True(q.MayServe(secondsAt(101.01), 50))
	is.True(!q.MayServe(secondsAt(101.01), 100))
	is.True(!q.MayServe(clock.At(101*time.Second+c.Duration), 50))
}

// Guards against grants that expire because they are not renewed in time, and
// against a handover token that is sent again.
func TestGrantsAreRenewed(t *testing.T) {
	is := is.New(t)
	r := selfRange(0, 99, 3)
	r.HandoverToken = "h"
	q := newRequester(r)
	first := only(t, q, secondsAt(100))
	is.Equal(first.Range.HandoverToken, "h")
	q.HandleResult(secondsAt(100), first.ID, grant.CallResult{Outcome: grant.CallDone})
	is.Equal(len(q.NextCalls(secondsAt(100.1))), 0)
	due, ok := q.NextDue(secondsAt(100.1))
	is.True(ok)
	is.True(due < 100*time.Second+first.Duration/2)
	q.SetLease(clock.At(due), requestLease)
	is.Equal(only(t, q, clock.At(due)).Range.HandoverToken, "")
}

// Guards against a range that is released while a grant without an answer may still
// be applied: a target may apply it after the release.
func TestReleaseWaitsForUnansweredGrant(t *testing.T) {
	is := is.New(t)
	q := newRequester(selfRange(0, 99, 3))
	lost := only(t, q, secondsAt(100))
	q.HandleResult(secondsAt(100.4), lost.ID, grant.CallResult{Outcome: grant.CallLost})
	again := only(t, q, secondsAt(100.6))
	q.HandleResult(secondsAt(100.6), again.ID, grant.CallResult{Outcome: grant.CallDone})
	q.SetRanges([]ranges.Range{releasing(selfRange(0, 99, 3))})
	is.True(!q.MayServe(secondsAt(100.7), 50))
	release := only(t, q, secondsAt(100.7))
	is.Equal(release.Kind, grant.ReleaseCall)
	q.HandleResult(secondsAt(100.8), release.ID, grant.CallResult{Outcome: grant.CallDone, HandoverToken: "h"})
	is.Equal(len(q.NextCalls(secondsAt(101))), 0)
	lastEnd := 100*time.Second + lost.Timeout + time.Duration(1.02*float64(lost.Duration))
	is.Equal(q.ReleaseExpired(clock.At(lastEnd-time.Millisecond)), 0)
	is.Equal(q.ReleaseExpired(clock.At(lastEnd)), 1)
	is.Equal(q.ReleasedRanges()[0].HandoverToken, "h")
}

// Guards against a range that is never released because the answer to the release is
// lost or never comes.
func TestReleaseWithoutAnswer(t *testing.T) {
	is := is.New(t)
	q := newRequester(selfRange(0, 99, 3))
	c := only(t, q, secondsAt(100))
	q.HandleResult(secondsAt(100), c.ID, grant.CallResult{Outcome: grant.CallDone})
	q.SetRanges([]ranges.Range{releasing(selfRange(0, 99, 3))})
	release := only(t, q, secondsAt(100.1))
	q.HandleResult(secondsAt(100.2), release.ID, grant.CallResult{Outcome: grant.CallLost})
	is.Equal(q.ReleaseExpired(secondsAt(100.2)), 0)
	is.Equal(only(t, q, secondsAt(100.4)).Kind, grant.ReleaseCall) // it is sent again
	is.Equal(q.ReleaseExpired(secondsAt(105)), 1)
}

// Guards against the release of a part of a grant that stops the rest.
func TestPartOfGrantIsReleased(t *testing.T) {
	is := is.New(t)
	q := newRequester(selfRange(0, 99, 3))
	c := only(t, q, secondsAt(100))
	q.HandleResult(secondsAt(100), c.ID, grant.CallResult{Outcome: grant.CallDone})
	q.SetRanges([]ranges.Range{selfRange(0, 49, 3), releasing(selfRange(50, 99, 3))})
	release := only(t, q, secondsAt(100.1))
	is.Equal(release.Range.From, uint16(50))
	q.HandleResult(secondsAt(100.1), release.ID, grant.CallResult{Outcome: grant.CallDone, HandoverToken: "h"})
	is.Equal(q.ReleaseExpired(secondsAt(100.1)), 1)
	rest := only(t, q, secondsAt(100.2))
	is.Equal(rest.Kind, grant.GrantCall)
	is.Equal(rest.Range.To, uint16(49))
}

// Guards against a call that is repeated with a fence that the target has refused.
func TestFencedRangeIsNotGrantedAgain(t *testing.T) {
	is := is.New(t)
	q := newRequester(selfRange(0, 99, 3))
	c := only(t, q, secondsAt(100))
	q.HandleResult(secondsAt(100), c.ID, grant.CallResult{Outcome: grant.CallFenced})
	is.Equal(len(q.NextCalls(secondsAt(101))), 0)
	refused := q.ReleasedRanges()
	is.Equal(len(refused), 1)
	is.True(refused[0].Refused)
	q.SetRanges([]ranges.Range{releasing(selfRange(0, 99, 3))})
	is.Equal(q.ReleaseExpired(secondsAt(101)), 1) // nothing was granted
	is.True(!q.ReleasedRanges()[0].Refused)
}

// Guards against a grant of a frozen process that stays in force after the end of its
// lease: the process sends on resuming what it had ready.
func TestLateGrantIsRevoked(t *testing.T) {
	is := is.New(t)
	q := newRequester(selfRange(0, 99, 3))
	c := only(t, q, secondsAt(100))
	q.HandleResult(secondsAt(107), c.ID, grant.CallResult{Outcome: grant.CallDone})
	is.True(!q.MayServe(secondsAt(107), 50))
	release := only(t, q, secondsAt(107))
	is.Equal(release.Kind, grant.ReleaseCall)
	is.Equal(release.Range.Fence, uint64(3))
}

// Guards against ranges that are reused while a grant of an earlier incarnation of
// the process may be in force.
func TestEarlierProcessDelaysRelease(t *testing.T) {
	is := is.New(t)
	q := grant.NewRequester(grant.DefaultRequestConfig(requestLease), self, 104*time.Second)
	q.SetRanges([]ranges.Range{releasing(selfRange(0, 99, 3))})
	q.SetLease(secondsAt(100), requestLease)
	release := only(t, q, secondsAt(100))
	q.HandleResult(secondsAt(100.1), release.ID, grant.CallResult{Outcome: grant.CallDone, HandoverToken: "h"})
	is.Equal(q.ReleaseExpired(secondsAt(103.9)), 0)
	is.Equal(q.ReleaseExpired(secondsAt(104)), 1)
	is.True(q.GrantsExpired(secondsAt(104)))
}

// Guards against calls without end while the lease is not renewed.
func TestNoCallsWithoutLease(t *testing.T) {
	is := is.New(t)
	q := newRequester(selfRange(0, 99, 3))
	is.Equal(len(q.NextCalls(secondsAt(104))), 0)
	_, ok := q.NextDue(secondsAt(104))
	is.True(!ok)
}
