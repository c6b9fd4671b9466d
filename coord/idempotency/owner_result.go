package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// runOf returns the run that request id executes, or nil.
func (o *Owner) runOf(id uint64) *run {
	c := o.calls[id]
	if c == nil || c.run == nil || c.run.runner != c || c.run.phase != dispatched {
		return nil
	}
	return c.run
}

// NotDispatched reports that a request was refused after Dispatch and before
// the target could see any of it. The process refuses the request itself,
// because it knows the reason. The next request with the same key is
// dispatched instead, if there is one.
func (o *Owner) NotDispatched(now clock.Reading, id uint64) []Action {
	o.begin(now)
	if r := o.runOf(id); r != nil {
		delete(o.calls, id)
		o.giveUp(r)
	}
	return o.out
}

// Finished reports the target's answer to a dispatched request. The answer is
// passed on when all copies hold the finished record, or shortly before the
// deadline without that: the request ran and its started record is on every
// copy, so a repeat is answered with this answer or with unknown and never
// run.
//
// The process may call it before it has the whole body: if the body exceeds
// MaxBodyBytes, it passes BodyOmitted, waits for Reply and then streams the body.
func (o *Owner) Finished(now clock.Reading, id uint64, answer Response) []Action {
	o.begin(now)
	r := o.runOf(id)
	if r == nil {
		return nil
	}
	r.answer = &answer
	if r.detached {
		finished := *r.record
		finished.Response = answer.recorded()
		r.record = &finished
		o.replyAll(r)
		return o.out
	}
	u := r.unit
	r.phase, r.acks = finishing, nil
	r.record = r.record.next(Finished, u.epoch)
	r.record.Response = answer.recorded()
	u.store.put(r.record)
	if r.runner.cancelled {
		delete(o.calls, id)
		r.runner = nil
	}
	o.write(r)
	o.advance(r)
	o.limitReplies(r)
	return o.out
}

// limitReplies makes sure that the answer is passed on before the deadlines.
func (o *Owner) limitReplies(r *run) {
	if r.replied {
		return
	}
	if r.runner != nil {
		o.limitReply(r.runner)
	}
	for _, c := range r.waiters {
		o.limitReply(c)
	}
}

func (o *Owner) limitReply(c *call) {
	o.timers.add(c.req.Deadline.Add(-o.cfg.ReplyMargin), c.req.ID)
}

// ResponseLost reports that a dispatched request has no answer. It and all requests
// with its key are answered unknown, and the key is never run again.
func (o *Owner) ResponseLost(now clock.Reading, id uint64) []Action {
	o.begin(now)
	if r := o.runOf(id); r != nil {
		r.unit.removeRun(r)
		o.refuseAll(r, outcome.NewUnknown(outcome.ReasonUpstreamBroken, "the answer of the target was lost"))
	}
	return o.out
}

// Cancel reports that nobody waits for a request any more. A request that was
// dispatched stays in progress: its answer is recorded for a repeat.
func (o *Owner) Cancel(now clock.Reading, id uint64) []Action {
	o.begin(now)
	c := o.calls[id]
	if c == nil {
		return nil
	}
	r := c.run
	switch {
	case r == nil:
		delete(o.calls, id)
		o.stopWaiting(c)
	case r.runner != c:
		delete(o.calls, id)
		r.waiters = slices.DeleteFunc(r.waiters, func(w *call) bool { return w == c })
	case r.phase == starting:
		delete(o.calls, id)
		o.giveUp(r)
	case r.phase == finishing:
		delete(o.calls, id)
		r.runner = nil
	default:
		c.cancelled = true
	}
	return o.out
}

// stopWaiting removes c from the requests that wait for records.
func (o *Owner) stopWaiting(c *call) {
	if u := o.units[c.req.Unit]; u != nil {
		u.waiting = slices.DeleteFunc(u.waiting, func(w *call) bool { return w == c })
	}
}
