package idempotency

import (
	"slices"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
)

// phase is the progress of an execution.
type phase uint8

const (
	// starting: the started record is being written to the copies.
	starting phase = iota
	// dispatched: the target may have received the request.
	dispatched
	// finishing: the finished record is being written to the copies.
	finishing
)

// execution is one attempt of this process to run the request of a key. Requests
// with the same key share it: primary is dispatched, and waiters get its result.
type execution struct {
	unit   *ownedUnit
	phase  phase
	record *Record
	// acks are the copies that have acknowledged record.
	acks []table.MemberID
	// primary is the request that is or will be dispatched; nil once it was
	// answered.
	primary *call
	// waiters are further requests with the same key.
	waiters []*call
	// response is the target's complete response. It is set in the phase
	// finishing, and for a detached execution.
	response *Response
	// replied means that the response was sent to the callers.
	replied bool
	// detached means that this member lost the unit while the request was at the
	// target.
	detached bool
}

// call is a request in progress.
type call struct {
	req       Request
	execution *execution
	// cancelled means that the caller no longer waits for the response.
	cancelled bool
}

func (u *ownedUnit) addExecution(e *execution) {
	u.executions[e.record.Key] = e
	u.executionOrder = append(u.executionOrder, e)
}

func (u *ownedUnit) removeExecution(e *execution) {
	if u.executions[e.record.Key] != e {
		return
	}
	delete(u.executions, e.record.Key)
	if i := slices.Index(u.executionOrder, e); i >= 0 {
		u.executionOrder = slices.Delete(u.executionOrder, i, i+1)
	}
}

// dropAcks removes the acknowledgements of a copy that was removed or lost its
// records.
func (u *ownedUnit) dropAcks(id table.MemberID) {
	for _, e := range u.executionOrder {
		e.acks = slices.DeleteFunc(e.acks, func(a table.MemberID) bool { return a == id })
	}
}

// replicated reports whether every copy has acknowledged the execution's record
// and, unless AllowNoRemoteCopy is set, at least one copy in sync is in another
// data centre. A copy that the table lists as in sync must have all records:
// otherwise it would reject the fetch of a new owner, which would not find the
// record.
func (o *Owner) replicated(e *execution) bool {
	remote := o.cfg.AllowNoRemoteCopy
	for _, p := range e.unit.copies {
		if !slices.Contains(e.acks, p.id) || !(p.syncing || p.inSync()) {
			return false
		}
		remote = remote || (p.remote && p.inSync())
	}
	return remote
}

// writeRecord sends the execution's record to the copies that have not
// acknowledged it.
func (o *Owner) writeRecord(e *execution) {
	for _, p := range e.unit.copies {
		o.writeRecordTo(e, p)
	}
}

func (o *Owner) writeRecordTo(e *execution, p *copyProgress) {
	if p.accepting && !slices.Contains(e.acks, p.id) {
		o.send(e.unit, p, e, e.record, WriteRequest{Records: []Record{*e.record}})
	}
}

// sendPendingRecords sends the records of all executions that wait for copies to
// one that now accepts them.
func (o *Owner) sendPendingRecords(u *ownedUnit, p *copyProgress) {
	for _, e := range u.executionOrder {
		if e.phase != dispatched {
			o.writeRecordTo(e, p)
		}
	}
}

func (o *Owner) advanceAll(u *ownedUnit) {
	for _, e := range slices.Clone(u.executionOrder) {
		o.advance(e)
	}
}

// advance dispatches or answers an execution once its record is replicated.
func (o *Owner) advance(e *execution) {
	if e.phase == dispatched || !o.replicated(e) {
		return
	}
	if e.phase == starting {
		e.phase = dispatched
		o.emit(Dispatch{ID: e.primary.req.ID})
		return
	}
	o.replyAll(e)
	e.unit.removeExecution(e)
}

// replyAll sends the response to all requests of an execution.
func (o *Owner) replyAll(e *execution) {
	e.replied = true
	if c := e.primary; c != nil {
		e.primary = nil
		o.reply(c, e.response, false)
	}
	for _, c := range e.waiters {
		o.reply(c, e.record.Response, true)
	}
	e.waiters = nil
}

// reply ends a call with a target's response.
func (o *Owner) reply(c *call, response *Response, replayed bool) {
	delete(o.calls, c.req.ID)
	if !c.cancelled {
		o.emit(Reply{ID: c.req.ID, Response: response, Replayed: replayed})
	}
}

// refuse ends a call with a refusal.
func (o *Owner) refuse(c *call, refusal *outcome.Refusal) {
	delete(o.calls, c.req.ID)
	if !c.cancelled {
		o.emit(Refuse{ID: c.req.ID, Refusal: refusal})
	}
}

// refuseAll refuses all requests of an execution.
func (o *Owner) refuseAll(e *execution, refusal *outcome.Refusal) {
	if c := e.primary; c != nil {
		e.primary = nil
		o.refuse(c, refusal)
	}
	for _, c := range e.waiters {
		o.refuse(c, refusal)
	}
	e.waiters = nil
}

// replacePrimary replaces a primary request that will not reach the target. The
// next waiting request becomes primary; if there is none, the execution ends and
// its record becomes NotDispatched.
func (o *Owner) replacePrimary(e *execution) {
	e.primary = nil
	if e.detached {
		o.refuseAll(e, refuseNotOwner())
		return
	}
	if len(e.waiters) > 0 {
		e.primary, e.waiters = e.waiters[0], e.waiters[1:]
		if e.phase == dispatched {
			o.emit(Dispatch{ID: e.primary.req.ID})
		}
		return
	}
	o.markNotDispatched(e)
	o.sendOnce(e.unit, e.record)
}

// markNotDispatched ends an execution that was not dispatched.
func (o *Owner) markNotDispatched(e *execution) {
	u := e.unit
	u.removeExecution(e)
	e.record = e.record.next(NotDispatched, u.epoch)
	u.store.put(e.record)
}

// abandonExecutions ends the executions of a unit whose records this member no
// longer uses.
func (o *Owner) abandonExecutions(u *ownedUnit) {
	for _, e := range slices.Clone(u.executionOrder) {
		switch e.phase {
		case starting:
			o.markNotDispatched(e)
			o.refuseAll(e, refuseNotOwner())
		case dispatched:
			u.removeExecution(e)
			e.detached = true
		case finishing:
			u.removeExecution(e)
			o.replyAll(e)
		}
	}
}
