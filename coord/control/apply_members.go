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
		s.resume(e, m.ID)
	}
	m.State, m.Leaving = MemberActive, false
	r := &memberRecord{Member: m, Manual: old != nil && old.Manual}
	s.members[m.ID] = r
	s.refreshState(e, r)
	e.touch(r)
	return Result{}
}

// updateMember changes the address or target of a registered incarnation.
func (s *State) updateMember(e *edit, old *memberRecord, m Member) Result {
	if m.DataCentre != old.Member.DataCentre {
		return refuse(RefusedInvalid, fmt.Sprintf("member %s cannot change its data centre without a restart", m.ID))
	}
	if m.PeerAddr == old.Member.PeerAddr && sameTarget(m.Target, old.Member.Target) {
		return Result{}
	}
	old.Member.PeerAddr, old.Member.Target = m.PeerAddr, m.Target
	e.touch(old)
	s.refreshState(e, old)
	return Result{}
}

func sameTarget(a, b *Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// needed reports whether a member still owns or receives a unit or holds an
// in-sync copy.
func (s *State) needed(id table.MemberID) bool {
	h := s.held(id)
	if len(h.owned) > 0 || len(h.next) > 0 {
		return true
	}
	for u := range h.copies {
		if entry := s.tbl.Entry(u); entry != nil && entry.HasCopy(id) {
			return true
		}
	}
	return false
}

// idle reports whether a member can serve nothing, whatever table it has: it
// has released all its units, and no barrier says that it may not have seen
// that a key space was taken from it.
func (s *State) idle(id table.MemberID) bool { return len(s.barriers) == 0 && !s.needed(id) }

// resume gives a lost member that returns with a new incarnation the units
// that were kept for it. Its memory is gone: records come from the copies.
func (s *State) resume(e *edit, id table.MemberID) {
	for _, u := range s.held(id).units() {
		n, ok := e.get(u)
		if !ok {
			continue
		}
		before := n
		s.strip(e, &n, only(id), true)
		if _, waits := s.barriers[u.Keyspace]; n.Owner == id && !waits {
			n.Phase = table.Serving
			n.Epoch = max(n.Epoch, before.Epoch+1)
		}
		e.put(n)
	}
}

func (s *State) membersLost(e *edit, c *DeclareMembersLost) Result {
	gone := map[table.MemberID]bool{}
	for _, m := range c.Members {
		r := s.members[m.ID]
		if r == nil || r.Member.Incarnation != m.Incarnation {
			continue
		}
		if r.Member.State == MemberLost && (c.KeepUnits || len(s.held(m.ID).owned) == 0) {
			continue
		}
		gone[m.ID] = true
		s.retired.add(m)
		if r.Member.State != MemberLost {
			r.Member.State = MemberLost
			e.touch(r)
		}
	}
	if len(gone) == 0 {
		return refuse(RefusedStale, "no member of the command is registered with that incarnation")
	}
	s.stripAll(e, gone, c.KeepUnits)
	for _, a := range c.Assignments {
		if n, ok := e.get(a.Unit); ok && n.Owner == "" {
			s.give(e, n, a)
		}
	}
	return Result{}
}

// stripAll takes the members out of every unit in which they have a part.
func (s *State) stripAll(e *edit, gone map[table.MemberID]bool, keep bool) {
	isGone := func(m table.MemberID) bool { return gone[m] }
	ids := make([]table.MemberID, 0, len(gone))
	for id := range gone {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		for _, u := range s.held(id).units() {
			if n, ok := e.get(u); ok {
				s.strip(e, &n, isGone, keep)
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
	if r.Member.State != MemberLost && (len(s.held(c.ID).owned) > 0 || len(s.barriers) > 0) {
		return refuse(RefusedNotReady, fmt.Sprintf("member %s owns units or may serve units of an earlier document; drain it or wait until it is lost", c.ID))
	}
	s.retired.add(MemberIncarnation{c.ID, c.Incarnation})
	s.stripAll(e, map[table.MemberID]bool{c.ID: true}, false)
	e.forget(c.ID)
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
	// A process that stops does not come back without a new incarnation.
	if c.Leaving && !r.Member.Leaving {
		r.Member.Leaving = true
		e.touch(r)
	}
	if !c.Leaving {
		r.Manual = c.State == MemberDraining
	}
	s.refreshState(e, r)
	return Result{}
}
