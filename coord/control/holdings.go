package control

import (
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// holding lists the units in which a member has a part. It spares a scan of
// the whole table at a loss or a drain.
type holding struct {
	owned   map[shard.Unit]struct{}
	copies  map[shard.Unit]struct{} // in sync or joining
	next    map[shard.Unit]struct{} // moving to the member
	sources map[shard.Unit]struct{}
}

func (h *holding) empty() bool {
	return len(h.owned) == 0 && len(h.copies) == 0 && len(h.next) == 0 && len(h.sources) == 0
}

// units returns every unit of h in order.
func (h *holding) units() []shard.Unit {
	all := make(map[shard.Unit]struct{}, len(h.owned)+len(h.copies))
	for _, set := range []map[shard.Unit]struct{}{h.owned, h.copies, h.next, h.sources} {
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

func (s *State) holding(m table.MemberID) *holding {
	h := s.holdings[m]
	if h == nil {
		h = &holding{
			owned: map[shard.Unit]struct{}{}, copies: map[shard.Unit]struct{}{},
			next: map[shard.Unit]struct{}{}, sources: map[shard.Unit]struct{}{},
		}
		s.holdings[m] = h
	}
	return h
}

// held returns the holding of a member without creating one.
func (s *State) held(m table.MemberID) *holding {
	if h := s.holdings[m]; h != nil {
		return h
	}
	return &holding{}
}

// reindex adds an entry to the derived indexes.
func (s *State) reindex(n *table.Entry) {
	if n.Owner != "" {
		s.holding(n.Owner).owned[n.Unit] = struct{}{}
	} else {
		s.unowned[n.Unit] = struct{}{}
	}
	if n.NextOwner != "" {
		s.holding(n.NextOwner).next[n.Unit] = struct{}{}
		s.moving[n.Unit] = n.NextOwner
	}
	for _, m := range n.Copies {
		s.holding(m).copies[n.Unit] = struct{}{}
	}
	for _, m := range n.SyncingCopies {
		s.holding(m).copies[n.Unit] = struct{}{}
	}
	for _, m := range n.Sources {
		s.holding(m).sources[n.Unit] = struct{}{}
	}
}

// unindex removes an entry from the derived indexes.
func (s *State) unindex(old *table.Entry) {
	delete(s.unowned, old.Unit)
	delete(s.moving, old.Unit)
	drop := func(m table.MemberID) {
		h := s.holdings[m]
		if h == nil {
			return
		}
		delete(h.owned, old.Unit)
		delete(h.copies, old.Unit)
		delete(h.next, old.Unit)
		delete(h.sources, old.Unit)
		if h.empty() {
			delete(s.holdings, m)
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

// rebuild derives every index from the table.
func (s *State) rebuild() {
	s.tbl.Each(func(e *table.Entry) bool {
		s.reindex(e)
		return true
	})
}

// without returns list less the members for which gone holds.
func without(list []table.MemberID, gone func(table.MemberID) bool) []table.MemberID {
	if !slices.ContainsFunc(list, gone) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), gone)
}

// with returns list with the members that it lacks added.
func with(list []table.MemberID, more ...table.MemberID) []table.MemberID {
	out := slices.Clone(list)
	for _, m := range more {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

func only(m table.MemberID) func(table.MemberID) bool {
	return func(other table.MemberID) bool { return other == m }
}
