package idempotency

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// defaultWait is the deadline of a request that names none.
const defaultWait = 30 * time.Second

// missingCopyRetry is the hint for repeating a request that was refused for
// want of a copy. A replacement is chosen within about a second.
const missingCopyRetry = 250 * time.Millisecond

// Begin starts the handling of a request. It ends with exactly one Reply or
// Refuse, unless the process cancels the request or reports NotDispatched.
func (o *Owner) Begin(now clock.Reading, req Request) []Action {
	o.begin(now)
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(defaultWait)
	}
	c := &call{req: req}
	u := o.units[req.Unit]
	if refusal := o.check(u, c); refusal != nil {
		o.refuse(c, refusal)
		return o.out
	}
	o.calls[req.ID] = c
	o.timers.add(req.Deadline, req.ID)
	if u.store == nil {
		u.waiting = append(u.waiting, c)
		return o.out
	}
	o.admit(u, c)
	return o.out
}

// check refuses what needs no look at the records.
func (o *Owner) check(u *ownedUnit, c *call) *outcome.Refusal {
	issued := time.Duration(wallMs(o.now)-c.req.IssuedAtMs) * time.Millisecond
	switch {
	case u == nil:
		return refuseNotOwner()
	case c.req.Key == "":
		return outcome.NewNotRun(outcome.ReasonBadRequest, "the idempotency key is empty")
	case passed(o.now, c.req.Deadline):
		return outcome.NewNotRun(outcome.ReasonDeadline, "the deadline has passed")
	case c.req.IssuedAtMs != 0 && issued < -o.cfg.MaxClockSkew:
		return outcome.NewNotRun(outcome.ReasonBadRequest, "the time of issue is in the future")
	case len(o.calls) >= o.cfg.MaxInFlight:
		return outcome.NewNotRun(outcome.ReasonOverloaded, "too many payments are in progress")
	}
	return nil
}

// admit answers a request from the unit's records or starts a run.
func (o *Owner) admit(u *ownedUnit, c *call) {
	if r := u.runs[c.req.Key]; r != nil {
		o.join(r, c)
		return
	}
	issued := time.Duration(wallMs(o.now)-c.req.IssuedAtMs) * time.Millisecond
	if c.req.IssuedAtMs != 0 && issued > u.store.lifetime {
		o.refuse(c, outcome.NewUnknown(outcome.ReasonRecordExpired,
			fmt.Sprintf("issued %v ago, records are kept for %v", issued, u.store.lifetime)))
		return
	}
	old := o.find(u, c)
	switch {
	case old != nil && old.Digest != c.req.Digest:
		o.refuse(c, refuseMismatch())
	case old != nil && old.State == Finished:
		o.reply(c, old.Response, true)
	case old != nil && old.State == Started:
		o.refuse(c, outcome.NewUnknown(outcome.ReasonUpstreamBroken, "an earlier try was dispatched and its answer is lost"))
	case o.isLost(u):
		o.refuse(c, outcome.NewUnknown(outcome.ReasonRecordsLost, "the records of earlier tries were lost"))
	default:
		o.start(u, c, old)
	}
}

// find returns the live record of a key. Requests that name their time of
// issue find records for MaxClockSkew longer: by the caller's clock their lifetime
// may not have ended.
func (o *Owner) find(u *ownedUnit, c *call) *Record {
	old := u.store.records[c.req.Key]
	if old == nil {
		return nil
	}
	keep := u.store.lifetime
	if c.req.IssuedAtMs != 0 {
		keep += o.cfg.MaxClockSkew
	}
	if old.age(wallMs(o.now)) > keep {
		return nil
	}
	return old
}

// isLost reports whether records that may still matter were lost.
func (o *Owner) isLost(u *ownedUnit) bool {
	age := time.Duration(wallMs(o.now)-u.store.lostAtMs) * time.Millisecond
	return u.store.lostAtMs != 0 && age <= u.store.lifetime+o.cfg.MaxClockSkew
}

// join makes c wait for a run with its key.
func (o *Owner) join(r *run, c *call) {
	switch {
	case r.record.Digest != c.req.Digest:
		o.refuse(c, refuseMismatch())
	case r.replied:
		o.reply(c, r.record.Response, true)
	case r.runner == nil && r.phase == starting:
		c.run, r.runner = r, c
	default:
		c.run = r
		r.waiters = append(r.waiters, c)
	}
}

// start begins a run. Without any copy in another data centre, present or
// joining, the request is refused; otherwise it waits until its deadline.
func (o *Owner) start(u *ownedUnit, c *call, old *Record) {
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
	r := &run{unit: u, record: record, runner: c}
	c.run = r
	u.addRun(r)
	o.write(r)
	o.advance(r)
}

func (u *ownedUnit) hasRemote() bool {
	for _, p := range u.peers {
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
