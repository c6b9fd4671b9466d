package idempotency

import (
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// dispatchedExecution returns the execution whose primary request is id, if it is
// dispatched, or nil.
func (o *Owner) dispatchedExecution(id uint64) *execution {
	c := o.calls[id]
	if c == nil || c.execution == nil || c.execution.primary != c || c.execution.phase != dispatched {
		return nil
	}
	return c.execution
}

// NotDispatched reports that a request was refused after Dispatch and before
// any part of it was sent to the target. The process answers the request itself,
// because it knows the reason. If another request with the same key is waiting,
// it is dispatched instead.
func (o *Owner) NotDispatched(now clock.Reading, id uint64) []Action {
	o.startEvent(now)
	if e := o.dispatchedExecution(id); e != nil {
		delete(o.calls, id)
		o.replacePrimary(e)
	}
	return o.actions
}

// Finished reports the target's response to a dispatched request. The response is
// sent to the caller when all copies have the finished record, or ReplyMargin
// before the deadline without that: the request ran and every copy has its
// started record, so a retry gets this response or the outcome unknown and is
// never run.
//
// The process may call it before it has the whole body: if the body exceeds
// MaxBodyBytes, it sets BodyOmitted, waits for Reply and then streams the body.
func (o *Owner) Finished(now clock.Reading, id uint64, response Response) []Action {
	o.startEvent(now)
	e := o.dispatchedExecution(id)
	if e == nil {
		return nil
	}
	e.response = &response
	if e.detached {
		finished := *e.record
		finished.Response = response.recorded()
		e.record = &finished
		o.replyAll(e)
		return o.actions
	}
	u := e.unit
	e.phase, e.acks = finishing, nil
	e.record = e.record.next(Finished, u.epoch)
	e.record.Response = response.recorded()
	u.store.put(e.record)
	if e.primary.cancelled {
		delete(o.calls, id)
		e.primary = nil
	}
	o.writeRecord(e)
	o.advance(e)
	o.scheduleReplies(e)
	return o.actions
}

// scheduleReplies sets timers so that the response is sent to all callers before
// their deadlines.
func (o *Owner) scheduleReplies(e *execution) {
	if e.replied {
		return
	}
	if e.primary != nil {
		o.scheduleReply(e.primary)
	}
	for _, c := range e.waiters {
		o.scheduleReply(c)
	}
}

func (o *Owner) scheduleReply(c *call) {
	o.timers.add(c.req.Deadline.Add(-o.cfg.ReplyMargin), c.req.ID)
}

// ResponseLost reports that there is no response to a dispatched request. This
// request and all others with its key are refused with the outcome unknown, and
// no request with the key runs again within the lifetime of the record.
func (o *Owner) ResponseLost(now clock.Reading, id uint64) []Action {
	o.startEvent(now)
	if e := o.dispatchedExecution(id); e != nil {
		e.unit.removeExecution(e)
		o.refuseAll(e, outcome.NewUnknown(outcome.ReasonUpstreamBroken, "the answer of the target was lost"))
	}
	return o.actions
}

// Cancel reports that the caller no longer waits for a request. A request that
// was dispatched stays in progress, and its response is recorded for a retry. No
// Reply or Refuse follows for the request.
func (o *Owner) Cancel(now clock.Reading, id uint64) []Action {
	o.startEvent(now)
	c := o.calls[id]
	if c == nil {
		return nil
	}
	e := c.execution
	switch {
	case e == nil:
		delete(o.calls, id)
		o.stopWaiting(c)
	case e.primary != c:
		delete(o.calls, id)
		e.waiters = slices.DeleteFunc(e.waiters, func(w *call) bool { return w == c })
	case e.phase == starting:
		delete(o.calls, id)
		o.replacePrimary(e)
	case e.phase == finishing:
		delete(o.calls, id)
		e.primary = nil
	default:
		c.cancelled = true
	}
	return o.actions
}

// stopWaiting removes c from the requests that wait for records.
func (o *Owner) stopWaiting(c *call) {
	if u := o.units[c.req.Unit]; u != nil {
		u.waiting = slices.DeleteFunc(u.waiting, func(w *call) bool { return w == c })
	}
}
