package control

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// edit collects the table changes of one command, which commit applies as one
// table revision. The derived indexes of State are updated immediately.
type edit struct {
	s                *State
	entries          map[shard.Unit]table.Entry
	shards           map[string]uint32
	directoryChanged bool
}

func (s *State) newEdit() *edit { return &edit{s: s} }

// get returns a unit's entry with the changes of this edit. Its slices are shared
// and must not be modified in place.
func (e *edit) get(u shard.Unit) (table.Entry, bool) {
	if n, ok := e.entries[u]; ok {
		return n, !n.Removed
	}
	if _, reset := e.shards[u.Keyspace]; reset {
		return table.Entry{}, false
	}
	if old := e.s.tbl.Entry(u); old != nil {
		return *old, true
	}
	return table.Entry{}, false
}

// put adds or replaces a unit's entry, or removes it if n.Removed is set.
func (e *edit) put(n table.Entry) {
	if old, ok := e.get(n.Unit); ok {
		e.s.removeFromIndexes(&old)
	}
	if e.entries == nil {
		e.entries = map[shard.Unit]table.Entry{}
	}
	e.entries[n.Unit] = n
	if n.Removed {
		e.s.epochFloor = max(e.s.epochFloor, n.Epoch)
		delete(e.s.recordsLost, n.Unit)
		return
	}
	e.s.addToIndexes(&n)
	e.trackRecordsLost(&n)
}

// trackRecordsLost records the table revision at which a unit's idempotency records
// were lost.
func (e *edit) trackRecordsLost(n *table.Entry) {
	if !n.RecordsLost {
		delete(e.s.recordsLost, n.Unit)
		return
	}
	if _, known := e.s.recordsLost[n.Unit]; !known {
		e.s.recordsLost[n.Unit] = e.s.tbl.Revision() + 1
	}
}

// restartRecordsLost sets the revision of the loss to that of this edit, so that
// the time for which the records count as lost starts again.
func (e *edit) restartRecordsLost(u shard.Unit) { e.s.recordsLost[u] = e.s.tbl.Revision() + 1 }

// resetKeyspace creates a key space with count shards, whose entries the caller
// puts, or removes the key space if count is 0.
func (e *edit) resetKeyspace(name string, count uint32) {
	e.s.tbl.EachInKeyspace(name, func(old *table.Entry) bool {
		if now, ok := e.get(old.Unit); ok {
			e.s.removeFromIndexes(&now)
			e.s.epochFloor = max(e.s.epochFloor, now.Epoch)
			delete(e.s.recordsLost, old.Unit)
			delete(e.entries, old.Unit)
		}
		return true
	})
	if e.shards == nil {
		e.shards = map[string]uint32{}
	}
	e.shards[name] = count
}

// commit applies the changes as one table revision and one directory revision.
// A part without changes gets no new revision.
func (e *edit) commit() {
	if e.directoryChanged {
		e.s.directory.advance()
	}
	if len(e.entries) == 0 && len(e.shards) == 0 {
		return
	}
	d := table.Delta{FromRevision: e.s.tbl.Revision(), ToRevision: e.s.tbl.Revision() + 1, Shards: e.shards}
	d.Entries = make([]table.Entry, 0, len(e.entries))
	for _, n := range e.entries {
		d.Entries = append(d.Entries, n)
	}
	slices.SortFunc(d.Entries, func(a, b table.Entry) int { return compareUnits(a.Unit, b.Unit) })
	next, err := e.s.tbl.Apply(d)
	if err != nil {
		// Callers check every unit against the table before they put it.
		panic(err)
	}
	e.s.tbl = next
	e.s.deltas.add(&d)
}

// compareUnits orders units by key space, shard and key.
func compareUnits(a, b shard.Unit) int {
	if c := cmp.Compare(a.Keyspace, b.Keyspace); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Shard, b.Shard); c != 0 {
		return c
	}
	return cmp.Compare(a.KeyHash, b.KeyHash)
}
