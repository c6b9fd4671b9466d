package ingress

import (
	"context"
	"time"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/httpserver"
)

// ownerPollInterval is the time after which the owner is tried again if no newer
// view arrives, because its lease may be valid again after a missed renewal.
const ownerPollInterval = 50 * time.Millisecond

// sendToOwner sends a sharded call to the owner of its unit. While no member serves
// the unit, the call waits until its deadline.
func (in *Ingress) sendToOwner(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
	s := in.service(c.Service)
	s.begin(in.members.View())
	last := outcome.NewNotRun(outcome.ReasonNoOwner, "no instance serves the unit")
	for n := 1; ; n++ {
		changed := in.members.Changed()
		e, refusal := in.entry(c)
		if refusal != nil {
			return nil, preferUnknown(last, refusal)
		}
		if e != nil && e.Phase == table.Serving && e.Owner != "" {
			resp, refusal := in.tryOwner(ctx, c, e)
			if refusal != nil && refusal.Outcome == outcome.NotRun && awaitsOwner(refusal.Reason) && c.CanResend() {
				resp, refusal = in.followOwnerHints(ctx, c, e.Epoch, refusal)
			}
			if refusal == nil {
				return resp, nil
			}
			last = preferUnknown(last, refusal)
			if !in.shouldRetry(c, s, n, refusal) {
				return nil, last
			}
		}
		if refusal := in.waitForView(ctx, changed, last); refusal != nil {
			return nil, refusal
		}
	}
}

// entry returns the table entry of the call's unit by the newest document and
// table. It refuses a call whose key no rule of the newest document covers.
func (in *Ingress) entry(c *call.Call) (*table.Entry, *outcome.Refusal) {
	v := in.members.View()
	keyspace, ok := c.CurrentKeyspace(v.Document)
	if !ok {
		return nil, outcome.NewNotRun(outcome.ReasonNoRule, "the configuration has changed and no rule covers the key any more")
	}
	return v.Table.Lookup(keyspace, c.Hash), nil
}

// shouldRetry reports whether a refused call waits for its owner and is retried.
// Retries after refusals for which awaitsOwner is true, and after a lost
// connection, do not count against the retry budget. The wait of the retry policy
// is not used; the call waits in waitForView.
func (in *Ingress) shouldRetry(c *call.Call, s *service, n int, refusal *outcome.Refusal) bool {
	if !c.CanResend() {
		return false
	}
	if refusal.Outcome == outcome.NotRun {
		return awaitsOwner(refusal.Reason) || s.decideRetry(s.attempt(c, n, refusal, false)).Retry
	}
	// The owner's idempotency records make the retry of a payment safe: the owner,
	// or the next one, finds the record of the first try.
	return refusal.Reason == outcome.ReasonConnectionFailed && (c.Idempotent() || c.Payment())
}

// awaitsOwner reports whether a newer table or a renewed lease may remove the
// reason of a refusal.
func awaitsOwner(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonNoOwner, outcome.ReasonNotOwner, outcome.ReasonLeaseExpired, outcome.ReasonNoControl,
		outcome.ReasonDraining, outcome.ReasonConnectionFailed, outcome.ReasonOwnerRecovering, outcome.ReasonNoRecordCopies:
		return true
	}
	return false
}

// preferUnknown returns the earlier refusal if its outcome is unknown, and the
// later one otherwise: a later refusal says nothing about the earlier try.
func preferUnknown(earlier, later *outcome.Refusal) *outcome.Refusal {
	if earlier.Outcome == outcome.Unknown {
		return earlier
	}
	return later
}

// endRefusal returns the refusal of a call whose context has ended while it waited:
// its deadline has passed, its caller has left, or the process stops. last is the
// refusal of its last try.
func endRefusal(ctx context.Context, last *outcome.Refusal) *outcome.Refusal {
	r := *last
	r.Detail = "the deadline passed; last: " + last.Error()
	if httpserver.IsStopping(ctx) {
		r.Detail = "the process stops; last: " + last.Error()
	}
	if r.Outcome == outcome.NotRun {
		r.RetryAfter = ownerPollInterval
	}
	return &r
}

// waitForView waits for a newer view, at most ownerPollInterval. It returns the
// refusal for the caller if ctx has ended or too many calls are waiting. last is the
// refusal of the last try.
func (in *Ingress) waitForView(ctx context.Context, changed <-chan struct{}, last *outcome.Refusal) *outcome.Refusal {
	select {
	case in.waiting <- struct{}{}:
		defer func() { <-in.waiting }()
	default:
		full := outcome.NewNotRun(outcome.ReasonOverloaded, "too many requests wait for an owner; last: "+last.Error())
		full.RetryAfter = ownerPollInterval
		return preferUnknown(last, full)
	}
	timer := time.NewTimer(ownerPollInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return endRefusal(ctx, last)
	}
	return nil
}

// tryOwner sends the call to the unit's owner. If the call may be retried, the try
// is cancelled when the unit gets another owner, so that the caller does not wait
// for an instance that is gone.
func (in *Ingress) tryOwner(ctx context.Context, c *call.Call, e *table.Entry) (*call.Response, *outcome.Refusal) {
	if !c.CanResend() || !(c.Idempotent() || c.Payment()) || e.Owner == in.cfg.Self {
		resp, _, refusal := in.send(ctx, e.Owner, c)
		return resp, refusal
	}
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan tryResult, 1)
	go func() {
		resp, _, refusal := in.send(ctx, e.Owner, c)
		result <- tryResult{resp: resp, refusal: refusal}
	}()
	for {
		changed := in.members.Changed()
		if in.ownerReplaced(c, e) {
			cancel()
			return cancelledTry(<-result)
		}
		select {
		case t := <-result:
			if t.refusal != nil {
				cancel()
				return nil, t.refusal
			}
			t.resp.Body = &call.CancelBody{ReadCloser: t.resp.Body, Cancel: cancel}
			return t.resp, nil
		case <-changed:
		}
	}
}

// tryResult is the result of one try: an answer or a refusal.
type tryResult struct {
	resp    *call.Response
	refusal *outcome.Refusal
}

// cancelledTry returns the refusal for a try that was cancelled. It discards an
// answer that arrived at the same moment.
func cancelledTry(t tryResult) (*call.Response, *outcome.Refusal) {
	if t.refusal == nil {
		_ = t.resp.Body.Close() // its context has ended, so that it cannot be read completely
		return nil, outcome.NewUnknown(outcome.ReasonConnectionFailed, "the unit has a new owner")
	}
	return nil, t.refusal
}

// ownerReplaced reports whether the call's unit has another owner than in e, at a
// later epoch.
func (in *Ingress) ownerReplaced(c *call.Call, e *table.Entry) bool {
	now, _ := in.entry(c)
	return now != nil && now.Owner != e.Owner && now.Epoch > e.Epoch
}
