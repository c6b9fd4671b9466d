package idempotency

import (
	"slices"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
)

type phase uint8

const (
	// starting: the started record is on its way to the copies.
	starting phase = iota
	// dispatched: the target may see the request.
	dispatched
	// finishing: the finished record is on its way to the copies.
	finishing
)

// run is the execution of one key in this process.
type run struct {
	unit   *ownedUnit
	phase  phase
	record *Record
	// acks are the copies that hold record.
	acks []table.MemberID
	// runner is the request that is executed; nil once it was answered.
	runner *call
	// waiters are further requests with the same key.
	waiters []*call
	// answer is the complete answer in the phase finishing.
	answer *Response
	// replied means that the answer was passed on.
	replied bool
	// detached means that the unit was given up while the target ran.
	detached bool
}

// call is a request in progress.
type call struct {
	req Request
	run *run
	// cancelled means that nobody waits for the answer any more.
	cancelled bool
}

func (u *ownedUnit) addRun(r *run) {
	u.runs[r.record.Key] = r
	u.runOrder = append(u.runOrder, r)
}

func (u *ownedUnit) removeRun(r *run) {
	if u.runs[r.record.Key] != r {
		return
	}
	delete(u.runs, r.record.Key)
	if i := slices.Index(u.runOrder, r); i >= 0 {
		u.runOrder = slices.Delete(u.runOrder, i, i+1)
	}
}

// forgetAcks drops the acknowledgements of a copy that left or lost its
// records.
func (u *ownedUnit) forgetAcks(id table.MemberID) {
	for _, r := range u.runOrder {
		r.acks = slices.DeleteFunc(r.acks, func(a table.MemberID) bool { return a == id })
	}
}

// covered reports whether every copy holds the run's record, and at least one
// copy in sync is in another data centre. A copy that the table calls in sync
// must be complete: otherwise it could not tell a new owner of the record.
func (o *Owner) covered(r *run) bool {
	remote := o.cfg.AllowNoRemoteCopy
	for _, p := range r.unit.peers {
		if !slices.Contains(r.acks, p.id) || !(p.joining || p.inSync()) {
			return false
		}
		remote = remote || (p.remote && p.inSync())
	}
	return remote
}

// write sends the run's record to the copies that do not hold it yet.
func (o *Owner) write(r *run) {
	for _, p := range r.unit.peers {
		o.writeTo(r, p)
	}
}

func (o *Owner) writeTo(r *run, p *peer) {
	if p.open && !slices.Contains(r.acks, p.id) {
		o.send(r.unit, p, r, r.record, WriteRequest{Records: []Record{*r.record}})
	}
}

// sendRuns sends the records of all runs to a copy that now accepts them.
func (o *Owner) sendRuns(u *ownedUnit, p *peer) {
	for _, r := range u.runOrder {
		if r.phase != dispatched {
			o.writeTo(r, p)
		}
	}
}

func (o *Owner) advanceAll(u *ownedUnit) {
	for _, r := range slices.Clone(u.runOrder) {
		o.advance(r)
	}
}

// advance moves a run on once its record is where it has to be.
func (o *Owner) advance(r *run) {
	if r.phase == dispatched || !o.covered(r) {
		return
	}
	if r.phase == starting {
		r.phase = dispatched
		o.emit(Dispatch{ID: r.runner.req.ID})
		return
	}
	o.replyAll(r)
	r.unit.removeRun(r)
}

// replyAll passes the run's answer to everyone who waits for it.
func (o *Owner) replyAll(r *run) {
	r.replied = true
	if c := r.runner; c != nil {
		r.runner = nil
		o.reply(c, r.answer, false)
	}
	for _, c := range r.waiters {
		o.reply(c, r.record.Response, true)
	}
	r.waiters = nil
}

func (o *Owner) reply(c *call, a *Response, replayed bool) {
	delete(o.calls, c.req.ID)
	if !c.cancelled {
		o.emit(Reply{ID: c.req.ID, Response: a, Replayed: replayed})
	}
}

func (o *Owner) refuse(c *call, refusal *outcome.Refusal) {
	delete(o.calls, c.req.ID)
	if !c.cancelled {
		o.emit(Refuse{ID: c.req.ID, Refusal: refusal})
	}
}

func (o *Owner) refuseAll(r *run, refusal *outcome.Refusal) {
	if c := r.runner; c != nil {
		r.runner = nil
		o.refuse(c, refusal)
	}
	for _, c := range r.waiters {
		o.refuse(c, refusal)
	}
	r.waiters = nil
}

// giveUp handles a run whose runner will not be dispatched: the next request
// with the same key takes its place, or the record becomes refused.
func (o *Owner) giveUp(r *run) {
	r.runner = nil
	if r.detached {
		o.refuseAll(r, refuseNotOwner())
		return
	}
	if len(r.waiters) > 0 {
		r.runner, r.waiters = r.waiters[0], r.waiters[1:]
		if r.phase == dispatched {
			o.emit(Dispatch{ID: r.runner.req.ID})
		}
		return
	}
	o.setRefused(r)
	o.sendOnce(r.unit, r.record)
}

func (o *Owner) setRefused(r *run) {
	u := r.unit
	u.removeRun(r)
	r.record = r.record.next(NotDispatched, u.epoch)
	u.store.put(r.record)
}

// abandonRuns ends the runs of a unit whose records this member gives up.
func (o *Owner) abandonRuns(u *ownedUnit) {
	for _, r := range slices.Clone(u.runOrder) {
		switch r.phase {
		case starting:
			o.setRefused(r)
			o.refuseAll(r, refuseNotOwner())
		case dispatched:
			u.removeRun(r)
			r.detached = true
		case finishing:
			u.removeRun(r)
			o.replyAll(r)
		}
	}
}
