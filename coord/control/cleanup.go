package control

import (
	"fmt"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
)

// leaderAuthor is the author of the leader's own commands of kinds that operators
// use too.
const leaderAuthor = "control"

// removeLostMembers proposes the removal of lost members that are not needed and did
// not return within LostMemberRetention.
func (c *Controller) removeLostMembers(now clock.Reading, s *State) {
	var expired []Member
	for id, v := range c.views {
		r := s.members[id]
		if r == nil || r.Member.State != MemberLost || s.needed(id) || now.MonoSince(v.lostSince) < c.cfg.LostMemberRetention {
			continue
		}
		expired = append(expired, r.Member)
	}
	c.proposeRemovals(now, expired)
}

// dismissObsoleteActions proposes to dismiss pending actions that are automatic now
// or have nothing left to do.
func (c *Controller) dismissObsoleteActions(now clock.Reading, s *State) {
	if len(s.actions) == 0 {
		return
	}
	for _, a := range s.Actions() {
		if s.doc.Automation.Allowed(a.Kind) || c.failoverComplete(s, a) {
			c.propose(now, Command{DismissAction: &DismissAction{ID: a.ID, Author: leaderAuthor}})
		}
	}
}

// failoverComplete reports whether a is a failover action without units left to
// assign.
func (c *Controller) failoverComplete(s *State, a PendingAction) bool {
	if a.Kind != config.ActionFailover {
		return false
	}
	for _, m := range c.lostOwners(s) {
		if a.ID == failoverActionID(m) {
			return false
		}
	}
	return true
}

func failoverActionID(m Member) string { return fmt.Sprintf("failover/%s/%d", m.ID, m.Incarnation) }

// mayProposeAction reports whether an action may be proposed: it is not pending and
// was not dismissed within ActionCooldown.
func (c *Controller) mayProposeAction(now clock.Reading, s *State, id string) bool {
	if _, pending := s.actions[id]; pending {
		return false
	}
	at, dismissed := c.dismissedAt[id]
	if dismissed && now.MonoSince(at) < c.cfg.ActionCooldown {
		return false
	}
	delete(c.dismissedAt, id)
	return true
}

// proposeAction proposes an action for an operator's approval, because it is not
// automatic at present.
func (c *Controller) proposeAction(now clock.Reading, s *State, a ProposedAction) {
	if c.mayProposeAction(now, s, a.ID) {
		c.propose(now, Command{ProposeAction: &ProposeAction{Action: a}})
	}
}
