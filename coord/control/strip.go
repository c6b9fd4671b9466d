package control

import (
	"slices"

	"bramleyquay.example/coord/table"
)

// strip takes lost members out of an entry. With keep, a lost owner stays
// named while the unit is unowned, so that it alone can resume it.
func (s *State) strip(e *edit, n *table.Entry, gone func(table.MemberID) bool, keep bool) {
	old := *n
	n.Copies = without(old.Copies, gone)
	n.SyncingCopies = without(old.SyncingCopies, gone)
	n.Sources = without(old.Sources, gone)
	ownerGone := old.Owner != "" && gone(old.Owner)
	nextGone := old.NextOwner != "" && gone(old.NextOwner)
	if ownerGone {
		n.Phase, n.NextOwner = table.Unowned, ""
		n.Sources = slices.Clone(n.Copies)
		if !keep {
			n.Owner = ""
		}
	} else if nextGone {
		n.Phase, n.NextOwner = table.Serving, ""
	}
	if ownerGone || nextGone || len(n.Copies) != len(old.Copies) || len(n.SyncingCopies) != len(old.SyncingCopies) {
		n.Epoch = old.Epoch + 1
	}
	if s.copiesOf(old.Unit.Keyspace) > 0 && lostRecords(&old, n, ownerGone) {
		n.RecordsLost = true
		e.lostAgain(n.Unit)
	}
}

// lostRecords reports whether no member is known to hold the unit's records
// any more. An owner that had sources at its epoch and is not among them may
// not have read them yet; it reports itself as synced once it has.
func lostRecords(old, n *table.Entry, ownerGone bool) bool {
	if len(n.Copies) > 0 || (len(old.Copies) == 0 && len(old.Sources) == 0) {
		return false // without a copy in sync nothing was ever dispatched
	}
	if ownerGone || old.Owner == "" {
		return len(old.Copies) > 0 || ownerGone && old.Phase != table.Unowned
	}
	return len(old.Sources) > 0 && !slices.Contains(old.Sources, old.Owner) && len(n.Sources) == 0
}

// give makes a member the owner of a unit without one. It does nothing if the
// member may not have the unit or its key space waits.
func (s *State) give(e *edit, n table.Entry, a Assignment) bool {
	if _, waits := s.barriers[n.Unit.Keyspace]; waits || !s.eligible(n.Unit.Keyspace, a.To) {
		return false
	}
	n.Owner, n.Phase, n.NextOwner = a.To, table.Serving, ""
	n.Sources = slices.Clone(n.Copies)
	n.Copies = without(n.Copies, only(a.To))
	n.SyncingCopies = without(n.SyncingCopies, only(a.To))
	for _, m := range a.Join {
		if s.mayCopy(&n, m) {
			n.SyncingCopies = with(n.SyncingCopies, m)
		}
	}
	n.Epoch++
	e.put(n)
	return true
}

// eligible reports whether a member may own units of a key space.
func (s *State) eligible(name string, id table.MemberID) bool {
	k, ok := s.keyspaces[name]
	r := s.members[id]
	return ok && r != nil && r.Member.State == MemberActive && k.serves(&r.Member)
}

// serves reports whether a member's target and data centre fit a key space.
func (k *keyspace) serves(m *Member) bool {
	return m.Target != nil && m.Target.Service == k.Service &&
		(len(k.DataCentres) == 0 || slices.Contains(k.DataCentres, m.DataCentre))
}

// mayCopy reports whether a member may become a record copy of a unit.
func (s *State) mayCopy(n *table.Entry, id table.MemberID) bool {
	r, owner := s.members[id], s.members[n.Owner]
	return r != nil && r.Member.State == MemberActive && !n.HasMember(id) &&
		(owner == nil || owner.Member.DataCentre != r.Member.DataCentre)
}
