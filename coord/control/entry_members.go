package control

import (
	"slices"

	"bramleyquay.example/coord/table"
)

// removeFromEntry removes the members for which removed returns true from an entry.
// With keepOwner, a removed owner stays recorded while the unit is unowned: the
// unit is reserved for it.
func (s *State) removeFromEntry(e *edit, n *table.Entry, removed func(table.MemberID) bool, keepOwner bool) {
	old := *n
	n.Copies = without(old.Copies, removed)
	n.SyncingCopies = without(old.SyncingCopies, removed)
	n.Sources = without(old.Sources, removed)
	ownerRemoved := old.Owner != "" && removed(old.Owner)
	receiverRemoved := old.NextOwner != "" && removed(old.NextOwner)
	if ownerRemoved {
		n.Phase, n.NextOwner = table.Unowned, ""
		n.Sources = slices.Clone(n.Copies)
		if !keepOwner {
			n.Owner = ""
		}
	} else if receiverRemoved {
		n.Phase, n.NextOwner = table.Serving, ""
	}
	if ownerRemoved || receiverRemoved || len(n.Copies) != len(old.Copies) || len(n.SyncingCopies) != len(old.SyncingCopies) {
		n.Epoch = old.Epoch + 1
	}
	if s.copiesOf(old.Unit.Keyspace) > 0 && allRecordsLost(&old, n, ownerRemoved) {
		n.RecordsLost = true
		e.restartRecordsLost(n.Unit)
	}
}

// allRecordsLost reports whether no member is known to hold all idempotency records
// of the unit after a change from old to n. An owner that is not among the sources
// of its epoch may not have read the records yet; it reports itself as synced once
// it has.
func allRecordsLost(old, n *table.Entry, ownerRemoved bool) bool {
	if len(n.Copies) > 0 || (len(old.Copies) == 0 && len(old.Sources) == 0) {
		return false // no request is dispatched before a copy is in sync
	}
	if ownerRemoved || old.Owner == "" {
		return len(old.Copies) > 0 || ownerRemoved && old.Phase != table.Unowned
	}
	return len(old.Sources) > 0 && !slices.Contains(old.Sources, old.Owner) && len(n.Sources) == 0
}

// assignUnit makes a member the owner of a unit without an owner. It returns false
// and changes nothing if the member may not own the unit or if the key space has a
// barrier.
func (s *State) assignUnit(e *edit, n table.Entry, a Assignment) bool {
	if _, blocked := s.barriers[n.Unit.Keyspace]; blocked || !s.mayOwn(n.Unit.Keyspace, a.To) {
		return false
	}
	n.Owner, n.Phase, n.NextOwner = a.To, table.Serving, ""
	n.Sources = slices.Clone(n.Copies)
	n.Copies = without(n.Copies, only(a.To))
	n.SyncingCopies = without(n.SyncingCopies, only(a.To))
	for _, m := range a.Join {
		if s.mayHoldCopy(&n, m) {
			n.SyncingCopies = with(n.SyncingCopies, m)
		}
	}
	n.Epoch++
	e.put(n)
	return true
}

// mayOwn reports whether a member may own units of a key space.
func (s *State) mayOwn(name string, id table.MemberID) bool {
	k, ok := s.keyspaces[name]
	r := s.members[id]
	return ok && r != nil && r.Member.State == MemberActive && k.serves(&r.Member)
}

// serves reports whether the service of a member's target and the member's data
// centre are those of a key space.
func (k *keyspace) serves(m *Member) bool {
	return m.Target != nil && m.Target.Service == k.Service &&
		(len(k.DataCentres) == 0 || slices.Contains(k.DataCentres, m.DataCentre))
}

// mayHoldCopy reports whether a member may become a record copy of a unit: it is
// active, has no role in the unit and is not in the owner's data centre.
func (s *State) mayHoldCopy(n *table.Entry, id table.MemberID) bool {
	r, owner := s.members[id], s.members[n.Owner]
	return r != nil && r.Member.State == MemberActive && !n.HasMember(id) &&
		(owner == nil || owner.Member.DataCentre != r.Member.DataCentre)
}
