package control

import (
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// memberUnits is an index of the units of one member by the member's role. It
// avoids a scan of the whole table when a member is lost or drained.
type memberUnits struct {
	owned    map[shard.Unit]struct{}
	copies   map[shard.Unit]struct{} // in sync or syncing
	incoming map[shard.Unit]struct{} // the member is the receiver of a move
	sources  map[shard.Unit]struct{}
}

func (h *memberUnits) empty() bool {
	return len(h.owned) == 0 && len(h.copies) == 0 && len(h.incoming) == 0 && len(h.sources) == 0
}

// all returns every unit of h once, sorted.
func (h *memberUnits) all() []shard.Unit {
	all := make(map[shard.Unit]struct{}, len(h.owned)+len(h.copies))
	for _, set := range []map[shard.Unit]struct{}{h.owned, h.copies, h.incoming, h.sources} {
		for u := range set {
			all[u] = struct{}{}
		}
	}
	return sortedUnits(all)
}

func sortedUnits[V any](set map[shard.Unit]V) []shard.Unit {
	out := make([]shard.Unit, 0, len(set))
	for u := range set {
		out = append(out, u)
	}
	slices.SortFunc(out, compareUnits)
	return out
}

// ensureUnits returns the index of a member and creates it if it is missing.
func (s *State) ensureUnits(m table.MemberID) *memberUnits {
	h := s.unitsByMember[m]
	if h == nil {
		h = &memberUnits{
			owned: map[shard.Unit]struct{}{}, copies: map[shard.Unit]struct{}{},
			incoming: map[shard.Unit]struct{}{}, sources: map[shard.Unit]struct{}{},
		}
		s.unitsByMember[m] = h
	}
	return h
}

// unitsOf returns the index of a member, or an empty one that must not be
// modified.
func (s *State) unitsOf(m table.MemberID) *memberUnits {
	if h := s.unitsByMember[m]; h != nil {
		return h
	}
	return &memberUnits{}
}

// addToIndexes adds an entry to the derived indexes.
func (s *State) addToIndexes(n *table.Entry) {
	if n.Owner != "" {
		s.ensureUnits(n.Owner).owned[n.Unit] = struct{}{}
	} else {
		s.unowned[n.Unit] = struct{}{}
	}
	if n.NextOwner != "" {
		s.ensureUnits(n.NextOwner).incoming[n.Unit] = struct{}{}
		s.moving[n.Unit] = n.NextOwner
	}
	for _, m := range n.Copies {
		s.ensureUnits(m).copies[n.Unit] = struct{}{}
	}
	for _, m := range n.SyncingCopies {
		s.ensureUnits(m).copies[n.Unit] = struct{}{}
	}
	for _, m := range n.Sources {
		s.ensureUnits(m).sources[n.Unit] = struct{}{}
	}
}

// removeFromIndexes removes an entry from the derived indexes.
func (s *State) removeFromIndexes(old *table.Entry) {
	delete(s.unowned, old.Unit)
	delete(s.moving, old.Unit)
	drop := func(m table.MemberID) {
		h := s.unitsByMember[m]
		if h == nil {
			return
		}
		delete(h.owned, old.Unit)
		delete(h.copies, old.Unit)
		delete(h.incoming, old.Unit)
		delete(h.sources, old.Unit)
		if h.empty() {
			delete(s.unitsByMember, m)
		}
	}
	drop(old.Owner)
	drop(old.NextOwner)
	for _, list := range [][]table.MemberID{old.Copies, old.SyncingCopies, old.Sources} {
		for _, m := range list {
			drop(m)
		}
	}
}

// rebuildIndexes fills the empty indexes from the table.
func (s *State) rebuildIndexes() {
	s.tbl.Each(func(e *table.Entry) bool {
		s.addToIndexes(e)
		return true
	})
}

// without returns list without the members for which remove returns true. The
// result may be list itself.
func without(list []table.MemberID, remove func(table.MemberID) bool) []table.MemberID {
	if !slices.ContainsFunc(list, remove) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), remove)
}

// with returns a copy of list with those members of more that it lacks.
func with(list []table.MemberID, more ...table.MemberID) []table.MemberID {
	out := slices.Clone(list)
	for _, m := range more {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// only returns a function that reports whether its argument is m.
func only(m table.MemberID) func(table.MemberID) bool {
	return func(other table.MemberID) bool { return other == m }
}
