package grant

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
)

// RequestConfig configures a Requester.
type RequestConfig struct {
	// MaxGrant is the longest duration of a grant. A longer one needs fewer calls.
	MaxGrant time.Duration
	// MinGrant is the shortest grant to issue. If less of the lease is left, no
	// grants are sent.
	MinGrant time.Duration
	// MaxClockDrift is the fraction by which the target's clock may run slow.
	MaxClockDrift float64
	// CallTimeout bounds the time from the decision on a grant to the arrival of its
	// call, and to the answer. Grants are shorter than the lease by this time,
	// because their duration counts from the arrival.
	CallTimeout time.Duration
	// ReleaseTimeout bounds the wait for the answer to a release, which comes after
	// the requests in progress. A release without an answer is sent again.
	ReleaseTimeout time.Duration
	// RenewFraction is the fraction of a grant after which it is renewed. A lower one
	// survives more lost calls and needs more calls.
	RenewFraction float64
	// RetryPause is the time after a failed call until the next one for its range.
	RetryPause time.Duration
	// MaxCalls bounds the grant calls in progress.
	MaxCalls int
}

// DefaultRequestConfig returns the default configuration for leases of the given
// duration and targets whose clocks run at most 2% slow.
func DefaultRequestConfig(lease time.Duration) RequestConfig {
	return RequestConfig{
		MaxGrant: lease, MinGrant: 100 * time.Millisecond, MaxClockDrift: 0.02, CallTimeout: 400 * time.Millisecond,
		ReleaseTimeout: 8 * time.Second, RenewFraction: 0.4, RetryPause: 100 * time.Millisecond, MaxCalls: 8,
	}
}

// Requester decides on the calls that grant key ranges to one target and release
// them. The target applies a call when it arrives; a call without an answer may be
// applied later, after newer ones. A range counts as released only when no grant of
// its keys can be in force any more, whenever its call is applied. Times are on the
// monotonic clock of the readings. It is not safe for concurrent use.
type Requester struct {
	assignment
	cfg    RequestConfig
	lastID uint64
	// sent are all grants that may be in force now or later.
	sent sentGrants
	// confirmed are the grants that the target has applied, with the times until which
	// it holds them at least.
	confirmed []confirmedGrant
	calls     map[uint64]pendingCall
	// retryAt is the earliest time of the next call for a range after a failure.
	retryAt map[rangeID]time.Duration
	// fenced are the ranges whose fence the target refused. They are not granted
	// again at this fence.
	fenced map[rangeID]bool
	// returned has the handover tokens of the ranges that the target has released.
	returned map[rangeID]string
	// revocations are ranges whose grant arrived too late for the lease.
	revocations []ranges.Range
}

type confirmedGrant struct {
	ranges.Range
	validUntil, renewAt time.Duration
}

type pendingCall struct {
	Call
	started time.Duration
}

// NewRequester returns the requester for a holder that announces itself now. Grants
// of an earlier incarnation of this process may be in force until earlierEnd.
func NewRequester(cfg RequestConfig, h ranges.Holder, earlierEnd time.Duration) *Requester {
	q := &Requester{
		assignment: newAssignment(h), cfg: cfg, calls: map[uint64]pendingCall{}, retryAt: map[rangeID]time.Duration{},
		fenced: map[rangeID]bool{}, returned: map[rangeID]string{},
	}
	q.sent.add(sentGrant{to: ranges.LastKey, end: earlierEnd})
	return q
}

// Succeed takes over the unanswered grants of the requester for an earlier
// incarnation of the target: a call that was sent to its address may be applied by
// this one.
func (q *Requester) Succeed(earlier *Requester) {
	q.sent = append(q.sent, earlier.sent.unanswered()...)
}

// SetRanges replaces the key space of the target's service, which the caller must
// not change afterwards. What is known of ranges that are no longer assigned to the
// holder is forgotten, but not their grants.
func (q *Requester) SetRanges(keyspace []ranges.Range) {
	releasing := q.setRanges(keyspace)
	for id := range q.returned {
		if !releasing[id] {
			delete(q.returned, id)
		}
	}
	assigned := map[rangeID]bool{}
	for _, r := range keyspace {
		if r.Holder == q.holder {
			assigned[rangeIDOf(r)] = true
		}
	}
	for id := range q.fenced {
		if !assigned[id] {
			delete(q.fenced, id)
		}
	}
	for id := range q.retryAt {
		if !assigned[id] {
			delete(q.retryAt, id)
		}
	}
}

// GrantsExpired reports whether every grant has certainly expired.
func (q *Requester) GrantsExpired(now clock.Reading) bool {
	q.sent.expire(now.Mono)
	return len(q.sent) == 0
}

// GrantsEnd returns the time at which every grant has certainly expired, zero if none is
// in force.
func (q *Requester) GrantsEnd() time.Duration {
	end := time.Duration(0)
	for _, g := range q.sent {
		end = max(end, g.end)
	}
	return end
}

// ReleaseExpired releases the ranges whose release is requested and whose keys the
// target certainly does not hold any more, and will not, with the token that it
// returned if it answered the release. It returns the number of ranges that were not
// released before.
func (q *Requester) ReleaseExpired(now clock.Reading) int {
	q.sent.expire(now.Mono)
	n := 0
	for _, r := range q.keyspace {
		id := rangeIDOf(r)
		if _, done := q.released[id]; done || r.Holder != q.holder || !r.Releasing {
			continue
		}
		token, returned := q.returned[id]
		if returned && q.sent.mayApply(r) || !returned && q.sent.mayHold(r) {
			continue
		}
		q.released[id] = fleet.ReleasedRange{Range: r, HandoverToken: token}
		n++
	}
	return n
}

// ReleasedRanges returns the released ranges and those that the target refused, to
// report to the control group, in no particular order.
func (q *Requester) ReleasedRanges() []fleet.ReleasedRange {
	out := q.assignment.ReleasedRanges()
	for _, r := range q.keyspace {
		if r.Holder == q.holder && !r.Releasing && q.fenced[rangeIDOf(r)] {
			out = append(out, fleet.ReleasedRange{Range: r, Refused: true})
		}
	}
	return out
}

// MayServe reports whether the target may start a request on a key now: it has
// confirmed a grant of the key at its current fence that is in force, its release is
// not requested, and the lease has not ended.
func (q *Requester) MayServe(now clock.Reading, key uint16) bool {
	if now.Mono >= q.leaseEnd || !q.IsAssigned(key) {
		return false
	}
	r, _ := ranges.Find(q.keyspace, key)
	for _, g := range q.confirmed {
		if g.Fence == r.Fence && g.From <= key && key <= g.To && now.Mono < g.validUntil {
			return true
		}
	}
	return false
}

// covering returns the time at which the grant of a whole range has to be renewed,
// and false if no confirmed grant covers it.
func (q *Requester) covering(now time.Duration, r ranges.Range) (renewAt time.Duration, ok bool) {
	for _, g := range q.confirmed {
		if g.Fence == r.Fence && g.From <= r.From && r.To <= g.To && now < g.validUntil {
			renewAt, ok = max(renewAt, g.renewAt), true
		}
	}
	return renewAt, ok
}
