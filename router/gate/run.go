package gate

import (
	"context"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
)

// Do runs a call at the target. It blocks until the header of the target's answer
// has arrived, for a payment until the answer has been recorded. It refuses with
// outcome.NotRun only if the target has not run the call. The response's body must
// be closed.
func (g *Gate) Do(ctx context.Context, c *call.Call) (*call.Response, *outcome.Refusal) {
	if r := g.precheck(c); r != nil {
		return nil, r
	}
	g.rates.count(g.unitOf(c), c.Hash)
	if c.Payment() {
		return g.payments.do(ctx, c)
	}
	return g.run(ctx, c, shard.Unit{})
}

// precheck refuses a call at its arrival that newPermit would refuse after it has
// waited for a slot.
func (g *Gate) precheck(c *call.Call) *outcome.Refusal {
	t := g.target.Load()
	switch {
	case t == nil || t.Service != c.Service:
		return outcome.NewNotRun(outcome.ReasonNotOwner, "no target of the service stands here")
	case !g.members.InContact():
		return outcome.NewNotRun(outcome.ReasonNoControl, "control was not heard from within the contact bound")
	case !c.Sharded() && g.members.View().Draining:
		return outcome.NewNotRun(outcome.ReasonDraining, "this instance takes no new work")
	case c.Sharded():
		_, _, r := g.owned(g.unitOf(c))
		return r
	}
	return nil
}

// unitOf returns the call's unit by the newest document and table. It returns the
// zero unit for services that are not sharded and for keys without a unit.
func (g *Gate) unitOf(c *call.Call) shard.Unit {
	if !c.Sharded() {
		return shard.Unit{}
	}
	v := g.members.View()
	keyspace, ok := c.CurrentKeyspace(v.Document)
	if !ok {
		return shard.Unit{}
	}
	if e := v.Table.Lookup(keyspace, c.Hash); e != nil {
		return e.Unit
	}
	return shard.Unit{}
}

// owned returns the unit's entry and the remaining lease, or a refusal if this
// member may not serve the unit now.
func (g *Gate) owned(u shard.Unit) (*table.Entry, time.Duration, *outcome.Refusal) {
	e, left, ok := g.members.Owned(u)
	switch {
	case ok && e.Phase == table.Serving:
		return e, left, nil
	case e == nil || e.Owner != g.cfg.Self || e.Phase == table.Moving:
		return nil, 0, outcome.NewNotRun(outcome.ReasonNotOwner, "the unit is not served here")
	default:
		return nil, 0, outcome.NewNotRun(outcome.ReasonLeaseExpired, "the lease has expired")
	}
}

// run waits for a slot, checks ownership once more and dispatches the call.
// recorded is the unit that holds the record of a payment, which is refused if its
// key is in another unit by now; it is the zero unit for other calls.
func (g *Gate) run(ctx context.Context, c *call.Call, recorded shard.Unit) (*call.Response, *outcome.Refusal) {
	id, refusal := g.limiter.acquire(ctx, c.Class, c.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	p, refusal := g.newPermit(c, recorded)
	if refusal != nil {
		g.limiter.abandon(id)
		return nil, refusal
	}
	p.freeSlot = func(s admission.Sample) { g.limiter.release(id, s) }
	p.leaveUnit = func() { g.leaveUnit(p) }
	return g.dispatch(ctx, c, p)
}

// newPermit makes the last check before dispatch. If it returns no refusal, the key
// of a sharded call counts as running until leaveUnit. The permit must not be used
// if there is a refusal.
func (g *Gate) newPermit(c *call.Call, recorded shard.Unit) (*permit, *outcome.Refusal) {
	p := &permit{target: g.target.Load(), timeout: time.Until(c.Deadline)}
	if p.timeout <= 0 {
		return nil, outcome.NewNotRun(outcome.ReasonDeadline, "the deadline passed before dispatch")
	}
	if p.target == nil || p.target.Service != c.Service {
		return nil, outcome.NewNotRun(outcome.ReasonNotOwner, "the target has left")
	}
	if !c.Sharded() {
		return p, g.precheck(c)
	}
	var ok bool
	if p.running, ok = g.units.enter(c); !ok {
		return nil, outcome.NewNotRun(outcome.ReasonNotOwner, "the unit moves away")
	}
	p.lease = g.leaseContext()
	e, left, refusal := g.owned(p.running.unit)
	if refusal == nil && recorded.Keyspace != "" && recorded != p.running.unit {
		refusal = outcome.NewNotRun(outcome.ReasonNotOwner, "the key belongs to another unit by now")
	}
	if refusal != nil {
		g.leaveUnit(p)
		return nil, refusal
	}
	p.epoch = e.Epoch
	p.timeout = min(p.timeout, left)
	return p, nil
}

// leaveUnit ends the count of a request and renews at once if a unit may be
// reported as released.
func (g *Gate) leaveUnit(p *permit) {
	if p.running.unit.Keyspace != "" && g.units.leave(p.running) {
		g.members.RenewNow()
	}
}
