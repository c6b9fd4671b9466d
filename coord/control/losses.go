package control

import (
	"cmp"
	"fmt"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// declareLosses proposes the loss of members whose leases have ended, again after
// ProposalTimeout if the proposal was not applied. Idle members that asked to
// leave are removed instead.
func (c *Controller) declareLosses(now clock.Reading, s *State) {
	var lost []Member
	var left []Member
	for id, r := range s.members {
		m := r.Member
		if m.State == MemberLost || !c.expired(now, &m) {
			continue
		}
		if l, proposed := c.lossProposals[id]; proposed && now.MonoSince(l.proposed) <= c.cfg.ProposalTimeout {
			continue
		}
		if m.Leaving && s.idle(id) {
			left = append(left, m)
			continue
		}
		lost = append(lost, m)
	}
	c.proposeRemovals(now, left)
	sortMembers(lost)
	if len(lost) > 0 {
		c.proposeLoss(now, s, lost)
	}
	c.failoverReserved(now, s)
}

// proposeRemovals proposes the removal of members from the directory.
func (c *Controller) proposeRemovals(now clock.Reading, members []Member) {
	sortMembers(members)
	for _, m := range members {
		c.propose(now, Command{RemoveMember: &RemoveMember{ID: m.ID, Incarnation: m.Incarnation}})
	}
}

func sortMembers(list []Member) {
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// proposeLoss proposes to declare members lost. The command also assigns their
// units to other members unless automatic failover is off.
func (c *Controller) proposeLoss(now clock.Reading, s *State, lost []Member) {
	cmd := &DeclareMembersLost{KeepUnits: !s.doc.Automation.Allowed(config.ActionFailover)}
	for _, m := range lost {
		c.lossProposals[m.ID] = lossProposal{incarnation: m.Incarnation, proposed: now}
		cmd.Members = append(cmd.Members, MemberIncarnation{m.ID, m.Incarnation})
	}
	if !cmd.KeepUnits {
		cmd.Assignments = c.failover(now, s, cmd.Members)
	}
	c.commands = append(c.commands, Command{DeclareMembersLost: cmd})
}

// failover plans new owners for all units of lost members. The lost members are
// not used as copies.
func (c *Controller) failover(now clock.Reading, s *State, members []MemberIncarnation) []Assignment {
	lost := map[table.MemberID]bool{}
	var units []shard.Unit
	for _, m := range members {
		lost[m.ID] = true
		units = append(units, sortedUnits(s.unitsOf(m.ID).owned)...)
	}
	entries := make([]table.Entry, 0, len(units))
	for _, u := range units {
		if e := s.tbl.Entry(u); e != nil {
			n := *e
			n.Copies = without(n.Copies, func(m table.MemberID) bool { return lost[m] })
			n.SyncingCopies = without(n.SyncingCopies, func(m table.MemberID) bool { return lost[m] })
			entries = append(entries, n)
		}
	}
	return c.planAssignments(now, s, entries)
}

// failoverReserved handles units that are reserved for lost members. It assigns
// them to other members if automatic failover is on, and otherwise proposes that
// as an action for operators.
func (c *Controller) failoverReserved(now clock.Reading, s *State) {
	allowed := s.doc.Automation.Allowed(config.ActionFailover)
	for _, m := range c.lostOwners(s) {
		members := []MemberIncarnation{{m.ID, m.Incarnation}}
		count := len(s.unitsOf(m.ID).owned)
		if !allowed {
			id := failoverActionID(m)
			if c.mayProposeAction(now, s, id) {
				c.proposeAction(now, s, ProposedAction{
					ID: id, Kind: config.ActionFailover, Summary: fmt.Sprintf("give the %d units of lost member %s to others", count, m.ID),
					Commands: []Command{{DeclareMembersLost: &DeclareMembersLost{Members: members, Assignments: c.failover(now, s, members)}}},
				})
			}
			continue
		}
		key := subject{kind: "failover", name: string(m.ID)}
		if _, pending := c.pending[key]; !pending {
			c.pending[key] = pendingProposal{since: now}
			c.commands = append(c.commands, Command{DeclareMembersLost: &DeclareMembersLost{Members: members, Assignments: c.failover(now, s, members)}})
		}
	}
}

// lostOwners returns the lost members that units are reserved for, by id.
func (c *Controller) lostOwners(s *State) []Member {
	var out []Member
	for id, r := range s.members {
		if r.Member.State == MemberLost && len(s.unitsOf(id).owned) > 0 {
			out = append(out, r.Member)
		}
	}
	sortMembers(out)
	return out
}

// assignUnowned proposes owners for units without an owner, except those of key
// spaces with a barrier.
func (c *Controller) assignUnowned(now clock.Reading, s *State) {
	if len(s.unowned) == 0 {
		return
	}
	var entries []table.Entry
	for u := range s.unowned {
		if _, blocked := s.barriers[u.Keyspace]; blocked || c.hasProposal(u) {
			continue
		}
		entries = append(entries, *s.tbl.Entry(u))
	}
	slices.SortFunc(entries, func(a, b table.Entry) int { return compareUnits(a.Unit, b.Unit) })
	if as := c.planAssignments(now, s, entries); len(as) > 0 {
		c.propose(now, Command{Assign: &Assign{Assignments: as}})
	}
}

// planAssignments plans owners and record copies for units. It prefers owners that
// have a copy or were about to receive the unit. Units that no member can own are
// left out.
func (c *Controller) planAssignments(now clock.Reading, s *State, entries []table.Entry) []Assignment {
	groups := map[string][]placement.UnitInfo{}
	byUnit := make(map[shard.Unit]*table.Entry, len(entries))
	for i := range entries {
		e := &entries[i]
		k, ok := s.keyspaces[e.Unit.Keyspace]
		if !ok {
			continue
		}
		byUnit[e.Unit] = e
		prefer := e.Copies
		if e.NextOwner != "" {
			prefer = with(prefer, e.NextOwner)
		}
		groups[k.Service] = append(groups[k.Service], placement.UnitInfo{ID: e.Unit, Prefer: prefer, DataCentres: k.DataCentres})
	}
	var out []Assignment
	for _, service := range sortedKeys(groups) {
		members := c.candidates(now, s, service)
		for _, a := range c.planner(service).Assign(groups[service], members, unitCounts(s, members)) {
			out = append(out, Assignment{Unit: a.Unit, Epoch: byUnit[a.Unit].Epoch, To: a.To})
		}
	}
	c.addCopies(now, s, out, byUnit)
	return out
}
