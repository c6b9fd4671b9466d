package control

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// subject identifies something that a command changes. Each subject has at most
// one pending proposal.
type subject struct {
	kind string
	name string
	unit shard.Unit
}

// pendingProposal is a proposal that is not applied yet.
type pendingProposal struct {
	since    clock.Reading
	receiver table.MemberID // receiver of a move
}

func unitSubject(u shard.Unit) subject { return subject{kind: "unit", unit: u} }

func memberSubject(id table.MemberID) subject { return subject{kind: "member", name: string(id)} }

// subjects returns what a command changes. Commands without subjects are not
// limited to one pending proposal.
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

// propose adds a command to the result of the current call, unless one of its
// subjects has a pending proposal. It reports whether the command was added.
func (c *Controller) propose(now clock.Reading, cmd Command) bool {
	subjects := cmd.subjects()
	for _, sub := range subjects {
		if _, pending := c.pending[sub]; pending {
			return false
		}
	}
	p := pendingProposal{since: now}
	if cmd.BeginMove != nil {
		p.receiver = cmd.BeginMove.To
	}
	for _, sub := range subjects {
		c.pending[sub] = p
	}
	c.commands = append(c.commands, cmd)
	return true
}

// hasProposal reports whether a unit has a pending proposal.
func (c *Controller) hasProposal(u shard.Unit) bool {
	_, pending := c.pending[unitSubject(u)]
	return pending
}

// expireProposals drops proposals that were not applied within ProposalTimeout, so
// that they can be made again. Proposed losses are kept in lossProposals instead
// and do not expire.
func (c *Controller) expireProposals(now clock.Reading) {
	for sub, p := range c.pending {
		if now.MonoSince(p.since) > c.cfg.ProposalTimeout {
			delete(c.pending, sub)
		}
	}
}
