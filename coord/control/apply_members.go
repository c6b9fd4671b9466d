package control

import (
	"fmt"
	"slices"

	"bramleyquay.example/coord/table"
)

func (s *State) registerMember(e *edit, c *RegisterMember) Result {
	m := c.Member
	if m.ID == "" || m.Incarnation == 0 {
		return refuse(RefusedInvalid, "a member needs an id and an incarnation")
	}
	if s.retired.has(MemberIncarnation{m.ID, m.Incarnation}) {
		return refuse(RefusedStale, fmt.Sprintf("incarnation %d of member %s was declared lost or removed", m.Incarnation, m.ID))
	}
	old := s.members[m.ID]
	if old != nil && old.Member.Incarnation == m.Incarnation {
		return s.updateMember(e, old, m)
	}
	if old != nil && old.Member.State != MemberLost && !(old.Member.Leaving && s.idle(m.ID)) {
		return refuse(RefusedNotReady, fmt.Sprintf("incarnation %d of member %s is registered", old.Member.Incarnation, m.ID))
	}
	if old != nil {
		s.retired.add(MemberIncarnation{m.ID, old.Member.Incarnation})
		s.resumeUnits(e, m.ID)
	}
	m.State, m.Leaving = MemberActive, false
	r := &memberRecord{Member: m, Manual: old != nil && old.Manual}
	s.members[m.ID] = r
	s.refreshState(e, r)
	e.markChanged(r)
	return Result{}
}

// updateMember changes the address or target of a registered incarnation. Its
// data centre cannot change.
func (s *State) updateMember(e *edit, old *memberRecord, m Member) Result {
	if m.DataCentre != old.Member.DataCentre {
		return refuse(RefusedInvalid, fmt.Sprintf("member %s cannot change its data centre without a restart", m.ID))
	}
	if m.PeerAddr == old.Member.PeerAddr && sameTarget(m.Target, old.Member.Target) {
		return Result{}
	}
	old.Member.PeerAddr, old.Member.Target = m.PeerAddr, m.Target
	e.markChanged(old)
	s.refreshState(e, old)
	return Result{}
}

func sameTarget(a, b *Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// needed reports whether a member still owns a unit, is the receiver of a move
// or holds an in-sync copy.
func (s *State) needed(id table.MemberID) bool {
	h := s.unitsOf(id)
	if len(h.owned) > 0 || len(h.incoming) > 0 {
		return true
	}
	for u := range h.copies {
		if entry := s.tbl.Entry(u); entry != nil && entry.HasCopy(id) {
			return true
		}
	}
	return false
}

// idle reports whether a member can serve no unit, even with an old table: it is
// not needed, and no barrier is set. While one is set, the member may not have
// seen yet that a key space was taken from it.
func (s *State) idle(id table.MemberID) bool { return len(s.barriers) == 0 && !s.needed(id) }

// resumeUnits assigns the units that were reserved for a member to its new
// incarnation, and removes the old incarnation from the copies and sources of all
// units. The new incarnation has no idempotency records and reads them from the
// copies. Units of key spaces with a barrier stay out of service.
func (s *State) resumeUnits(e *edit, id table.MemberID) {
	for _, u := range s.unitsOf(id).all() {
		n, ok := e.get(u)
		if !ok {
			continue
		}
		before := n
		s.removeFromEntry(e, &n, only(id), true)
		if _, blocked := s.barriers[u.Keyspace]; n.Owner == id && !blocked {
			n.Phase = table.Serving
			n.Epoch = max(n.Epoch, before.Epoch+1)
		}
		e.put(n)
	}
}

func (s *State) declareMembersLost(e *edit, c *DeclareMembersLost) Result {
	lost := map[table.MemberID]bool{}
	for _, m := range c.Members {
		r := s.members[m.ID]
		if r == nil || r.Member.Incarnation != m.Incarnation {
			continue
		}
		if r.Member.State == MemberLost && (c.KeepUnits || len(s.unitsOf(m.ID).owned) == 0) {
			continue
		}
		lost[m.ID] = true
		s.retired.add(m)
		if r.Member.State != MemberLost {
			r.Member.State = MemberLost
			e.markChanged(r)
		}
	}
	if len(lost) == 0 {
		return refuse(RefusedStale, "no member of the command is registered with that incarnation")
	}
	s.removeFromEntries(e, lost, c.KeepUnits)
	for _, a := range c.Assignments {
		if n, ok := e.get(a.Unit); ok && n.Owner == "" {
			s.assignUnit(e, n, a)
		}
	}
	return Result{}
}

// removeFromEntries removes members from the entries of all their units. With
// keepOwner, their units stay reserved for them.
func (s *State) removeFromEntries(e *edit, members map[table.MemberID]bool, keepOwner bool) {
	removed := func(m table.MemberID) bool { return members[m] }
	ids := make([]table.MemberID, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		for _, u := range s.unitsOf(id).all() {
			if n, ok := e.get(u); ok {
				s.removeFromEntry(e, &n, removed, keepOwner)
				e.put(n)
			}
		}
	}
}

func (s *State) removeMember(e *edit, c *RemoveMember) Result {
	r := s.members[c.ID]
	if r == nil || r.Member.Incarnation != c.Incarnation {
		return refuse(RefusedNotFound, fmt.Sprintf("no member %s with incarnation %d", c.ID, c.Incarnation))
	}
	if r.Member.State != MemberLost && (len(s.unitsOf(c.ID).owned) > 0 || len(s.barriers) > 0) {
		return refuse(RefusedNotReady, fmt.Sprintf("member %s owns units or may serve units of an earlier document; drain it or wait until it is lost", c.ID))
	}
	s.retired.add(MemberIncarnation{c.ID, c.Incarnation})
	s.removeFromEntries(e, map[table.MemberID]bool{c.ID: true}, false)
	e.removeMember(c.ID)
	return Result{}
}

func (s *State) setMemberState(e *edit, c *SetMemberState) Result {
	r := s.members[c.ID]
	if r == nil || r.Member.Incarnation != c.Incarnation || r.Member.State == MemberLost {
		return refuse(RefusedNotFound, fmt.Sprintf("no member %s with incarnation %d is registered", c.ID, c.Incarnation))
	}
	if c.State != MemberActive && c.State != MemberDraining {
		return refuse(RefusedInvalid, fmt.Sprintf("a member's state can be set to %s or %s", MemberActive, MemberDraining))
	}
	// Leaving is final: a stopped process returns only with a new incarnation.
	if c.Leaving && !r.Member.Leaving {
		r.Member.Leaving = true
		e.markChanged(r)
	}
	if !c.Leaving {
		r.Manual = c.State == MemberDraining
	}
	s.refreshState(e, r)
	return Result{}
}
