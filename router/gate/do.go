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

// Do runs a call at the target. A refusal with outcome.NotRun is given only
// while the target has not seen the call. The response's body must be closed.
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

// precheck refuses early what the check before dispatch would refuse anyway.
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

// unitOf returns the call's unit by the newest table; the zero unit for
// services that are not sharded.
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

// owned checks that this member may serve the unit now.
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

// run takes a slot, checks ownership once more and dispatches. A payment names
// the unit that holds its record; it does not run under another one.
func (g *Gate) run(ctx context.Context, c *call.Call, recorded shard.Unit) (*call.Response, *outcome.Refusal) {
	id, refusal := g.slots.acquire(ctx, c.Class, c.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	p, refusal := g.permit(c, recorded)
	if refusal != nil {
		g.slots.abandon(id)
		return nil, refusal
	}
	p.free = func(s admission.Sample) { g.slots.release(id, s) }
	p.leave = func() { g.leaveUnit(p) }
	return g.dispatch(ctx, c, p)
}

// permit is the last check before dispatch. On success the key counts as
// running until leaveUnit.
func (g *Gate) permit(c *call.Call, recorded shard.Unit) (*permit, *outcome.Refusal) {
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
	if p.entered, ok = g.units.enter(c); !ok {
		return nil, outcome.NewNotRun(outcome.ReasonNotOwner, "the unit moves away")
	}
	p.lease = g.leaseContext()
	e, left, refusal := g.owned(p.entered.unit)
	if refusal == nil && recorded.Keyspace != "" && recorded != p.entered.unit {
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

func (g *Gate) leaveUnit(p *permit) {
	if p.entered.unit.Keyspace != "" && g.units.leave(p.entered) {
		g.members.RenewNow()
	}
}
