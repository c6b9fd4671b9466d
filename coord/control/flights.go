package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// subject is what a command changes. One proposal per subject is in flight.
type subject struct {
	kind string
	name string
	unit shard.Unit
}

// flight is a proposal that was not applied yet.
type flight struct {
	since clock.Reading
	to    table.MemberID // receiver of a move
}

func unitSubject(u shard.Unit) subject { return subject{kind: "unit", unit: u} }

func memberSubject(id table.MemberID) subject { return subject{kind: "member", name: string(id)} }

// subjects lists what a command changes.
func (c Command) subjects() []subject {
	switch {
	case c.RegisterMember != nil:
		return []subject{memberSubject(c.RegisterMember.Member.ID)}
	case c.Assign != nil:
		out := make([]subject, 0, len(c.Assign.Assignments))
		for _, a := range c.Assign.Assignments {
			out = append(out, unitSubject(a.Unit))
		}
		return out
	case c.SetMemberState != nil:
		return []subject{{kind: "state", name: string(c.SetMemberState.ID)}}
	case c.RemoveMember != nil:
		return []subject{memberSubject(c.RemoveMember.ID)}
	case c.ProposeAction != nil:
		return []subject{{kind: "action", name: c.ProposeAction.Action.ID}}
	case c.DismissAction != nil:
		return []subject{{kind: "action", name: c.DismissAction.ID}}
	case c.ClearBarrier != nil:
		return []subject{{kind: "keyspace", name: c.ClearBarrier.Name}}
	default:
		return c.unitSubjects()
	}
}

func (c Command) unitSubjects() []subject {
	switch {
	case c.BeginMove != nil:
		return []subject{unitSubject(c.BeginMove.Unit)}
	case c.FinishMove != nil:
		return []subject{unitSubject(c.FinishMove.Unit)}
	case c.CancelMove != nil:
		return []subject{unitSubject(c.CancelMove.Unit)}
	case c.CopySynced != nil:
		return []subject{unitSubject(c.CopySynced.Unit)}
	case c.ChangeCopies != nil:
		return []subject{unitSubject(c.ChangeCopies.Unit)}
	case c.SplitKey != nil:
		return []subject{{kind: "split", name: c.SplitKey.Keyspace, unit: shard.Unit{KeyHash: c.SplitKey.Hash}}}
	case c.MergeKey != nil:
		return []subject{unitSubject(c.MergeKey.Unit)}
	case c.ClearRecordsLost != nil:
		return []subject{unitSubject(c.ClearRecordsLost.Unit)}
	default:
		return nil
	}
}

// propose adds a command to the answer of the present call unless one of its
// subjects has a proposal in flight. It reports whether it did.
func (c *Controller) propose(now clock.Reading, cmd Command) bool {
	subjects := cmd.subjects()
	for _, sub := range subjects {
		if _, busy := c.flights[sub]; busy {
			return false
		}
	}
	f := flight{since: now}
	if cmd.BeginMove != nil {
		f.to = cmd.BeginMove.To
	}
	for _, sub := range subjects {
		c.flights[sub] = f
	}
	c.out = append(c.out, cmd)
	return true
}

func (c *Controller) busy(u shard.Unit) bool {
	_, busy := c.flights[unitSubject(u)]
	return busy
}

// expireFlights gives up waiting for proposals that were probably lost. A loss
// is not among them: see Controller.losing.
func (c *Controller) expireFlights(now clock.Reading) {
	for sub, f := range c.flights {
		if now.MonoSince(f.since) > c.cfg.ProposalTimeout {
			delete(c.flights, sub)
		}
	}
}
