package idempotency

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// defaultTimeout sets the deadline of a request without one.
const defaultTimeout = 30 * time.Second

// missingCopyRetry is the RetryAfter of a request that was refused because no
// copy is in another data centre. Control chooses a replacement within about a
// second.
const missingCopyRetry = 250 * time.Millisecond

// Begin starts the handling of a request, which ends with exactly one Reply or
// Refuse, unless the process calls Cancel or NotDispatched for it.
func (o *Owner) Begin(now clock.Reading, req Request) []Action {
	o.startEvent(now)
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(defaultTimeout)
	}
	c := &call{req: req}
	u := o.units[req.Unit]
	if refusal := o.checkRequest(u, c); refusal != nil {
		o.refuse(c, refusal)
		return o.actions
	}
	o.calls[req.ID] = c
	o.timers.add(req.Deadline, req.ID)
	if u.store == nil {
		u.waiting = append(u.waiting, c)
		return o.actions
	}
	o.admit(u, c)
	return o.actions
}

// checkRequest returns a refusal for reasons that do not depend on the unit's
// records, or nil.
func (o *Owner) checkRequest(u *ownedUnit, c *call) *outcome.Refusal {
	sinceIssue := time.Duration(wallMs(o.now)-c.req.IssuedAtMs) * time.Millisecond
	switch {
	case u == nil:
		return refuseNotOwner()
	case c.req.Key == "":
		return outcome.NewNotRun(outcome.ReasonBadRequest, "the idempotency key is empty")
	case passed(o.now, c.req.Deadline):
		return outcome.NewNotRun(outcome.ReasonDeadline, "the deadline has passed")
	case c.req.IssuedAtMs != 0 && sinceIssue < -o.cfg.MaxClockSkew:
		return outcome.NewNotRun(outcome.ReasonBadRequest, "the time of issue is in the future")
	case len(o.calls) >= o.cfg.MaxInFlight:
		return outcome.NewNotRun(outcome.ReasonOverloaded, "too many payments are in progress")
	}
	return nil
}

// admit answers a request from the unit's records, adds it to the execution with
// its key, or starts an execution.
func (o *Owner) admit(u *ownedUnit, c *call) {
	if e := u.executions[c.req.Key]; e != nil {
		o.attachCall(e, c)
		return
	}
	sinceIssue := time.Duration(wallMs(o.now)-c.req.IssuedAtMs) * time.Millisecond
	if c.req.IssuedAtMs != 0 && sinceIssue > u.store.lifetime {
		o.refuse(c, outcome.NewUnknown(outcome.ReasonRecordExpired,
			fmt.Sprintf("issued %v ago, records are kept for %v", sinceIssue, u.store.lifetime)))
		return
	}
	old := o.findRecord(u, c)
	switch {
	case old != nil && old.Digest != c.req.Digest:
		o.refuse(c, refuseMismatch())
	case old != nil && old.State == Finished:
		o.reply(c, old.Response, true)
	case old != nil && old.State == Started:
		o.refuse(c, outcome.NewUnknown(outcome.ReasonUpstreamBroken, "an earlier try was dispatched and its answer is lost"))
	case o.recordsLost(u):
		o.refuse(c, outcome.NewUnknown(outcome.ReasonRecordsLost, "the records of earlier tries were lost"))
	default:
		o.startExecution(u, c, old)
	}
}

// findRecord returns the record of c's key, or nil if there is none within its
// lifetime. For requests with a time of issue the lifetime is MaxClockSkew
// longer, because by the caller's clock it may not have ended.
func (o *Owner) findRecord(u *ownedUnit, c *call) *Record {
	old := u.store.records[c.req.Key]
	if old == nil {
		return nil
	}
	lifetime := u.store.lifetime
	if c.req.IssuedAtMs != 0 {
		lifetime += o.cfg.MaxClockSkew
	}
	if old.age(wallMs(o.now)) > lifetime {
		return nil
	}
	return old
}

// recordsLost reports whether records of the unit were lost so lately that they
// would not all have expired.
func (o *Owner) recordsLost(u *ownedUnit) bool {
	age := time.Duration(wallMs(o.now)-u.store.lostAtMs) * time.Millisecond
	return u.store.lostAtMs != 0 && age <= u.store.lifetime+o.cfg.MaxClockSkew
}

// attachCall adds c to an execution with its key: c is refused if its digest
// differs, answered if the response was already sent to other callers, and
// otherwise becomes the primary request or waits for the result.
func (o *Owner) attachCall(e *execution, c *call) {
	switch {
	case e.record.Digest != c.req.Digest:
		o.refuse(c, refuseMismatch())
	case e.replied:
		o.reply(c, e.record.Response, true)
	case e.primary == nil && e.phase == starting:
		c.execution, e.primary = e, c
	default:
		c.execution = e
		e.waiters = append(e.waiters, c)
	}
}

// startExecution begins the execution of c. The request is refused if no copy, in
// sync or syncing, is in another data centre (but see Config.AllowNoRemoteCopy),
// or if the record of a new key would exceed MaxBytes; otherwise it waits for the
// copies until its deadline.
func (o *Owner) startExecution(u *ownedUnit, c *call, old *Record) {
	if !o.cfg.AllowNoRemoteCopy && !u.hasRemote() {
		refusal := outcome.NewNotRun(outcome.ReasonNoRecordCopies, "no record copy in another data centre")
		refusal.RetryAfter = missingCopyRetry
		o.refuse(c, refusal)
		return
	}
	record := &Record{
		Key: c.req.Key, Digest: c.req.Digest, State: Started,
		CreatedAtMs: wallMs(o.now), Epoch: u.epoch, Version: 1,
	}
	if prior := u.store.records[c.req.Key]; prior != nil {
		record.Version = prior.Version + 1
	}
	if old == nil && o.memory+record.size() > o.cfg.MaxBytes {
		o.refuse(c, outcome.NewNotRun(outcome.ReasonOverloaded, "the memory for payment records is full"))
		return
	}
	o.memory += record.size()
	u.store.put(record)
	e := &execution{unit: u, record: record, primary: c}
	c.execution = e
	u.addExecution(e)
	o.writeRecord(e)
	o.advance(e)
}

func (u *ownedUnit) hasRemote() bool {
	for _, p := range u.copies {
		if p.remote {
			return true
		}
	}
	return false
}

func refuseNotOwner() *outcome.Refusal {
	return outcome.NewNotRun(outcome.ReasonNotOwner, "this member does not own the unit")
}

func refuseMismatch() *outcome.Refusal {
	return outcome.NewNotRun(outcome.ReasonBodyMismatch, "the idempotency key was used with another body")
}
