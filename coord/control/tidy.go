package control

import (
	"fmt"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
)

// leaderAuthor marks commands of the leader's own that also operators use.
const leaderAuthor = "control"

// tidyMembers removes lost members that hold nothing and did not come back.
func (c *Controller) tidyMembers(now clock.Reading, s *State) {
	var gone []Member
	for id, v := range c.seen {
		r := s.members[id]
		if r == nil || r.Member.State != MemberLost || s.needed(id) || now.MonoSince(v.lostSince) < c.cfg.LostMemberRetention {
			continue
		}
		gone = append(gone, r.Member)
	}
	c.remove(now, gone)
}

// tidyActions dismisses pending actions whose reason has gone.
func (c *Controller) tidyActions(now clock.Reading, s *State) {
	if len(s.actions) == 0 {
		return
	}
	for _, a := range s.Actions() {
		if s.doc.Automation.Allowed(a.Kind) || c.settled(s, a) {
			c.propose(now, Command{DismissAction: &DismissAction{ID: a.ID, Author: leaderAuthor}})
		}
	}
}

// settled reports whether a failover action has nothing left to do.
func (c *Controller) settled(s *State, a PendingAction) bool {
	if a.Kind != config.ActionFailover {
		return false
	}
	for _, m := range c.lostWithUnits(s) {
		if a.ID == failoverAction(m) {
			return false
		}
	}
	return true
}

func failoverAction(m Member) string { return fmt.Sprintf("failover/%s/%d", m.ID, m.Incarnation) }

// wanted reports whether an action may be listed: it is neither pending nor
// was it dismissed a short time ago.
func (c *Controller) wanted(now clock.Reading, s *State, id string) bool {
	if _, pending := s.actions[id]; pending {
		return false
	}
	at, dismissed := c.cooling[id]
	if dismissed && now.MonoSince(at) < c.cfg.ActionCooldown {
		return false
	}
	delete(c.cooling, id)
	return true
}

// proposeAction lists an automatic action that is switched off.
func (c *Controller) proposeAction(now clock.Reading, s *State, a ProposedAction) {
	if c.wanted(now, s, a.ID) {
		c.propose(now, Command{ProposeAction: &ProposeAction{Action: a}})
	}
}
