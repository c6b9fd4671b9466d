package ingress

import (
	"context"
	"time"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
)

// ownerPoll is the longest wait before another look at the owner when no newer
// table arrives; the owner may have only missed a renewal.
const ownerPoll = 50 * time.Millisecond

// toOwner brings a sharded call to the owner of its unit. While nobody serves
// the unit it holds the call until its deadline.
func (in *Ingress) toOwner(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
	s := in.service(c.Service)
	s.begin(in.members.View())
	last := outcome.NewNotRun(outcome.ReasonNoOwner, "no instance serves the unit")
	for n := 1; ; n++ {
		changed := in.members.Changed()
		e, refusal := in.entry(c)
		if refusal != nil {
			return nil, worse(last, refusal)
		}
		if e != nil && e.Phase == table.Serving && e.Owner != "" {
			resp, refusal := in.tryOwner(ctx, c, e)
			if refusal != nil && refusal.Outcome == outcome.NotRun && awaitsOwner(refusal.Reason) && c.CanResend() {
				resp, refusal = in.askOthers(ctx, c, e.Epoch, refusal)
			}
			if refusal == nil {
				return resp, nil
			}
			last = worse(last, refusal)
			if !in.mayTryAgain(c, s, n, refusal) {
				return nil, last
			}
		}
		if refusal := in.hold(ctx, changed, last); refusal != nil {
			return nil, refusal
		}
	}
}

// entry finds the call's unit by the newest document and table. It refuses a
// call that the newest document has no place for.
func (in *Ingress) entry(c *call.Call) (*table.Entry, *outcome.Refusal) {
	v := in.members.View()
	keyspace, ok := c.CurrentKeyspace(v.Document)
	if !ok {
		return nil, outcome.NewNotRun(outcome.ReasonNoRule, "the configuration has changed and no rule covers the key any more")
	}
	return v.Table.Lookup(keyspace, c.Hash), nil
}

// mayTryAgain decides whether a refused call waits for its owner and is sent
// again.
func (in *Ingress) mayTryAgain(c *call.Call, s *service, n int, refusal *outcome.Refusal) bool {
	if !c.CanResend() {
		return false
	}
	if refusal.Outcome == outcome.NotRun {
		return awaitsOwner(refusal.Reason) || s.decide(s.attempt(c, n, refusal, false)).Retry
	}
	// The owner's records make a payment idempotent: a second arrival finds
	// what became of the first, at the same owner or at its successor.
	return refusal.Reason == outcome.ReasonConnectionFailed && (c.Idempotent() || c.Payment())
}

// awaitsOwner reports whether a newer table or a renewed lease resolves the
// refusal.
func awaitsOwner(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonNoOwner, outcome.ReasonNotOwner, outcome.ReasonLeaseExpired, outcome.ReasonNoControl,
		outcome.ReasonDraining, outcome.ReasonConnectionFailed, outcome.ReasonOwnerRecovering, outcome.ReasonNoRecordCopies:
		return true
	}
	return false
}

// worse keeps an unknown outcome once a try had one: a later refusal says
// nothing about the earlier try.
func worse(a, b *outcome.Refusal) *outcome.Refusal {
	if a.Outcome == outcome.Unknown {
		return a
	}
	return b
}

// ended is the refusal of a call whose deadline has passed.
func ended(last *outcome.Refusal) *outcome.Refusal {
	r := *last
	r.Detail = "the deadline passed; last: " + last.Error()
	if r.Outcome == outcome.NotRun {
		r.RetryAfter = ownerPoll
	}
	return &r
}

// hold waits for a newer view, at most ownerPoll. It returns the refusal of the
// call when the call has ended or too many calls are held; last is what the
// call was refused with before.
func (in *Ingress) hold(ctx context.Context, changed <-chan struct{}, last *outcome.Refusal) *outcome.Refusal {
	select {
	case in.held <- struct{}{}:
		defer func() { <-in.held }()
	default:
		full := outcome.NewNotRun(outcome.ReasonOverloaded, "too many requests wait for an owner; last: "+last.Error())
		full.RetryAfter = ownerPoll
		return worse(last, full)
	}
	timer := time.NewTimer(ownerPoll)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return ended(last)
	}
	return nil
}

// tryOwner sends the call to the unit's owner. A try that may be repeated ends
// when the unit gets another owner, so that a caller does not wait for an
// instance that was lost.
func (in *Ingress) tryOwner(ctx context.Context, c *call.Call, e *table.Entry) (*call.Response, *outcome.Refusal) {
	if !c.CanResend() || !(c.Idempotent() || c.Payment()) || e.Owner == in.cfg.Self {
		resp, _, refusal := in.send(ctx, e.Owner, c)
		return resp, refusal
	}
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan tried, 1)
	go func() {
		resp, _, refusal := in.send(ctx, e.Owner, c)
		result <- tried{resp: resp, refusal: refusal}
	}()
	for {
		changed := in.members.Changed()
		if in.replaced(c, e) {
			cancel()
			return abandoned(<-result)
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

// tried is the end of one try.
type tried struct {
	resp    *call.Response
	refusal *outcome.Refusal
}

// abandoned turns the result of a cancelled try into a refusal; an answer that
// came at the same moment is used.
func abandoned(t tried) (*call.Response, *outcome.Refusal) {
	if t.refusal == nil {
		_ = t.resp.Body.Close() // its context has ended, so it cannot be read to the end
		return nil, outcome.NewUnknown(outcome.ReasonConnectionFailed, "the unit has a new owner")
	}
	return nil, t.refusal
}

// replaced reports whether the unit of the call has an owner other than e's.
func (in *Ingress) replaced(c *call.Call, e *table.Entry) bool {
	now, _ := in.entry(c)
	return now != nil && now.Owner != e.Owner && now.Epoch > e.Epoch
}
