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

// declareLosses proposes the loss of members whose leases have ended, and
// repeats proposals that were not applied in time.
func (c *Controller) declareLosses(now clock.Reading, s *State) {
	var gone []Member
	var left []Member
	for id, r := range s.members {
		m := r.Member
		if m.State == MemberLost || !c.expired(now, &m) {
			continue
		}
		if l, losing := c.losing[id]; losing && now.MonoSince(l.proposed) <= c.cfg.ProposalTimeout {
			continue
		}
		if m.Leaving && s.idle(id) {
			left = append(left, m)
			continue
		}
		gone = append(gone, m)
	}
	c.remove(now, left)
	sortMembers(gone)
	if len(gone) > 0 {
		c.lose(now, s, gone)
	}
	c.failoverKept(now, s)
}

// remove proposes the removal of members that hold nothing.
func (c *Controller) remove(now clock.Reading, members []Member) {
	sortMembers(members)
	for _, m := range members {
		c.propose(now, Command{RemoveMember: &RemoveMember{ID: m.ID, Incarnation: m.Incarnation}})
	}
}

func sortMembers(list []Member) {
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// lose proposes the loss of members and new owners for their units.
func (c *Controller) lose(now clock.Reading, s *State, gone []Member) {
	cmd := &DeclareMembersLost{KeepUnits: !s.doc.Automation.Allowed(config.ActionFailover)}
	for _, m := range gone {
		c.losing[m.ID] = loss{incarnation: m.Incarnation, proposed: now}
		cmd.Members = append(cmd.Members, MemberIncarnation{m.ID, m.Incarnation})
	}
	if !cmd.KeepUnits {
		cmd.Assignments = c.failover(now, s, cmd.Members)
	}
	c.out = append(c.out, Command{DeclareMembersLost: cmd})
}

// failover plans new owners for all units of lost members.
func (c *Controller) failover(now clock.Reading, s *State, gone []MemberIncarnation) []Assignment {
	lost := map[table.MemberID]bool{}
	var units []shard.Unit
	for _, m := range gone {
		lost[m.ID] = true
		units = append(units, sortedUnits(s.held(m.ID).owned)...)
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
	return c.place(now, s, entries)
}

// failoverKept deals with units that are reserved for lost members: released
// if failover is on, proposed to an operator if it is off.
func (c *Controller) failoverKept(now clock.Reading, s *State) {
	allowed := s.doc.Automation.Allowed(config.ActionFailover)
	for _, m := range c.lostWithUnits(s) {
		who := []MemberIncarnation{{m.ID, m.Incarnation}}
		count := len(s.held(m.ID).owned)
		if !allowed {
			id := failoverAction(m)
			if c.wanted(now, s, id) {
				c.proposeAction(now, s, ProposedAction{
					ID: id, Kind: config.ActionFailover, Summary: fmt.Sprintf("give the %d units of lost member %s to others", count, m.ID),
					Commands: []Command{{DeclareMembersLost: &DeclareMembersLost{Members: who, Assignments: c.failover(now, s, who)}}},
				})
			}
			continue
		}
		key := subject{kind: "failover", name: string(m.ID)}
		if _, busy := c.flights[key]; !busy {
			c.flights[key] = flight{since: now}
			c.out = append(c.out, Command{DeclareMembersLost: &DeclareMembersLost{Members: who, Assignments: c.failover(now, s, who)}})
		}
	}
}

func (c *Controller) lostWithUnits(s *State) []Member {
	var out []Member
	for id, r := range s.members {
		if r.Member.State == MemberLost && len(s.held(id).owned) > 0 {
			out = append(out, r.Member)
		}
	}
	sortMembers(out)
	return out
}

// assignUnowned proposes owners for units without one.
func (c *Controller) assignUnowned(now clock.Reading, s *State) {
	if len(s.unowned) == 0 {
		return
	}
	var entries []table.Entry
	for u := range s.unowned {
		if _, waits := s.barriers[u.Keyspace]; waits || c.busy(u) {
			continue
		}
		entries = append(entries, *s.tbl.Entry(u))
	}
	slices.SortFunc(entries, func(a, b table.Entry) int { return compareUnits(a.Unit, b.Unit) })
	if as := c.place(now, s, entries); len(as) > 0 {
		c.propose(now, Command{Assign: &Assign{Assignments: as}})
	}
}

// place plans owners and record copies for units, service by service.
func (c *Controller) place(now clock.Reading, s *State, entries []table.Entry) []Assignment {
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
		for _, a := range c.planner(service).Assign(groups[service], members, owned(s, members)) {
			out = append(out, Assignment{Unit: a.Unit, Epoch: byUnit[a.Unit].Epoch, To: a.To})
		}
	}
	c.joinCopies(now, s, out, byUnit)
	return out
}
