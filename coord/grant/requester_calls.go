package grant

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// NextCalls returns the calls to send now and records them as in progress. Each must
// be followed by HandleResult. Ranges that are not granted yet come before renewals.
func (q *Requester) NextCalls(now clock.Reading) []Call {
	q.sent.expire(now.Mono)
	q.confirmed = slices.DeleteFunc(q.confirmed, func(g confirmedGrant) bool { return now.Mono >= g.validUntil })
	out := q.revoke(now.Mono)
	var renewals []ranges.Range
	for _, r := range q.keyspace {
		if r.Holder != q.holder || q.isCalling(r) || now.Mono < q.retryAt[rangeIDOf(r)] {
			continue
		}
		if r.Releasing {
			if q.needsRelease(r) {
				out = append(out, q.startCall(now.Mono, Call{Kind: ReleaseCall, Range: r, Timeout: q.cfg.ReleaseTimeout}))
			}
			continue
		}
		renewAt, granted := q.covering(now.Mono, r)
		switch {
		case q.fenced[rangeIDOf(r)]:
		case !granted:
			out = q.appendGrant(now, out, r)
		case now.Mono >= renewAt:
			renewals = append(renewals, r)
		}
	}
	for _, r := range renewals {
		out = q.appendGrant(now, out, r)
	}
	return out
}

// revoke returns the calls that release the ranges whose grant arrived too late.
func (q *Requester) revoke(now time.Duration) []Call {
	var out []Call
	var waiting []ranges.Range
	for _, r := range q.revocations {
		if q.isCalling(r) {
			waiting = append(waiting, r)
			continue
		}
		out = append(out, q.startCall(now, Call{Kind: ReleaseCall, Range: r, Timeout: q.cfg.ReleaseTimeout}))
	}
	q.revocations = waiting
	return out
}

// needsRelease reports whether the release of a range has to be requested from the
// target.
func (q *Requester) needsRelease(r ranges.Range) bool {
	_, returned := q.returned[rangeIDOf(r)]
	return !returned && q.sent.mayHold(r)
}

// isCalling reports whether a call for a key of the range is in progress.
func (q *Requester) isCalling(r ranges.Range) bool {
	for _, c := range q.calls {
		if c.Range.From <= r.To && r.From <= c.Range.To {
			return true
		}
	}
	return false
}

// appendGrant appends the call that grants a range, unless grantDuration is zero.
func (q *Requester) appendGrant(now clock.Reading, out []Call, r ranges.Range) []Call {
	d := q.grantDuration(now.Mono)
	if d == 0 {
		return out
	}
	if _, held := q.covering(now.Mono, r); held {
		r.HandoverToken = "" // the target needs it only until it holds the range
	}
	c := q.startCall(now.Mono, Call{Kind: GrantCall, Range: r, Duration: d, Until: now.Mono + q.cfg.CallTimeout + d, Timeout: q.cfg.CallTimeout})
	q.sent.add(sentGrant{call: c.ID, from: r.From, to: r.To, end: now.Mono + q.cfg.CallTimeout + q.slow(d)})
	return append(out, c)
}

// grantDuration returns the duration of a grant that is sent now. It is zero if too
// many grants are in progress or too little of the lease is left.
func (q *Requester) grantDuration(now time.Duration) time.Duration {
	grants := 0
	for _, c := range q.calls {
		if c.Kind == GrantCall {
			grants++
		}
	}
	remaining := q.leaseEnd - now - q.cfg.CallTimeout
	d := min(time.Duration(float64(remaining)/(1+q.cfg.MaxClockDrift)), q.cfg.MaxGrant).Truncate(time.Millisecond)
	if grants >= q.cfg.MaxCalls || d < q.cfg.MinGrant {
		return 0
	}
	return d
}

// slow returns the longest time that a slow clock of the target takes for d.
func (q *Requester) slow(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + q.cfg.MaxClockDrift))
}

func (q *Requester) startCall(now time.Duration, c Call) Call {
	q.lastID++
	c.ID, c.Target = q.lastID, q.holder.Target
	q.calls[c.ID] = pendingCall{Call: c, started: now}
	return c
}

// HandleResult records the end of a call.
func (q *Requester) HandleResult(now clock.Reading, id uint64, result CallResult) {
	c, ok := q.calls[id]
	if !ok {
		return
	}
	delete(q.calls, id)
	if c.Kind == GrantCall {
		q.handleGrant(now.Mono, c, result)
	} else {
		q.handleRelease(now.Mono, c, result)
	}
}

// handleGrant records the end of a grant call. A call that took longer than its
// time-out was delayed before it was sent, for instance because the process was
// frozen: its grant may outlast the lease and is revoked.
func (q *Requester) handleGrant(now time.Duration, c pendingCall, result CallResult) {
	id := rangeIDOf(c.Range)
	switch result.Outcome {
	case CallNotSent, CallRejected:
		q.sent.remove(c.ID)
		q.retryAt[id] = now + q.cfg.RetryPause
		return
	case CallFenced:
		q.sent.remove(c.ID)
		q.fenced[id] = true
		return
	}
	late := now-c.started > q.cfg.CallTimeout+lateSlack
	if g := q.sent.find(c.ID); g != nil {
		g.answered = result.Outcome == CallDone
		if late {
			g.end = now + q.slow(c.Duration)
		}
	} else {
		q.sent.add(sentGrant{call: c.ID, from: c.Range.From, to: c.Range.To, end: now + q.slow(c.Duration), answered: result.Outcome == CallDone})
	}
	switch {
	case late && now+q.slow(c.Duration) > q.leaseEnd:
		q.revocations = append(q.revocations, c.Range)
	case result.Outcome == CallDone:
		q.confirm(c)
	default:
		q.retryAt[id] = now + q.cfg.RetryPause
	}
}

// lateSlack covers the time between the end of a call and the handling of its result.
const lateSlack = 100 * time.Millisecond

// confirm records an applied grant. It replaces the earlier ones of the same keys.
func (q *Requester) confirm(c pendingCall) {
	r := c.Range
	q.confirmed = slices.DeleteFunc(q.confirmed, func(g confirmedGrant) bool { return r.From <= g.From && g.To <= r.To })
	q.confirmed = append(q.confirmed, confirmedGrant{
		Range: r, validUntil: c.started + c.Duration, renewAt: c.started + time.Duration(q.cfg.RenewFraction*float64(c.Duration)),
	})
}

// handleRelease records the end of a release call. A release without an answer is
// sent again, which changes nothing if the first one took effect.
func (q *Requester) handleRelease(now time.Duration, c pendingCall, result CallResult) {
	id := rangeIDOf(c.Range)
	q.confirmed = slices.DeleteFunc(q.confirmed, func(g confirmedGrant) bool { return g.From <= c.Range.To && c.Range.From <= g.To })
	if result.Outcome != CallDone {
		q.retryAt[id] = now + q.cfg.RetryPause
		return
	}
	q.sent.removeReleased(c.Range)
	for _, r := range q.keyspace {
		if rangeIDOf(r) == id && r.Holder == q.holder && r.Releasing {
			q.returned[id] = result.HandoverToken
		}
	}
}

// NextDue returns the time of the next call or release if no call ends, the lease is
// not renewed and the ranges do not change before. It returns false if there is none.
func (q *Requester) NextDue(now clock.Reading) (time.Duration, bool) {
	due, ok := time.Duration(0), false
	consider := func(t time.Duration) {
		if !ok || t < due {
			due, ok = t, true
		}
	}
	for _, r := range q.keyspace {
		id := rangeIDOf(r)
		if _, done := q.released[id]; r.Holder != q.holder || done || q.fenced[id] || q.isCalling(r) {
			continue
		}
		if r.Releasing {
			q.considerReleaseEnd(r, consider)
			if q.needsRelease(r) {
				consider(max(now.Mono, q.retryAt[id]))
			}
			continue
		}
		if q.grantDuration(now.Mono) == 0 {
			continue // until the next lease or the end of a call
		}
		renewAt, granted := q.covering(now.Mono, r)
		if !granted {
			renewAt = now.Mono
		}
		consider(max(renewAt, q.retryAt[id]))
	}
	return due, ok
}

// considerReleaseEnd passes the ends of the grants that delay the release of a range.
func (q *Requester) considerReleaseEnd(r ranges.Range, consider func(time.Duration)) {
	for _, g := range q.sent {
		if g.overlaps(r) {
			consider(g.end)
		}
	}
}
