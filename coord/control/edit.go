package control

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// edit collects the table changes of one command, so that they become one
// table revision. The derived indexes of State follow at once.
type edit struct {
	s       *State
	entries map[shard.Unit]table.Entry
	shards  map[string]uint32
	touched bool // the directory changed
}

func (s *State) newEdit() *edit { return &edit{s: s} }

// get returns a unit's entry as changed so far. Its slices are shared and must
// not be changed in place.
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

// put replaces a unit's entry.
func (e *edit) put(n table.Entry) {
	if old, ok := e.get(n.Unit); ok {
		e.s.unindex(&old)
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
	e.s.reindex(&n)
	e.noteRecords(&n)
}

// noteRecords keeps the revision at which a unit's records were lost.
func (e *edit) noteRecords(n *table.Entry) {
	if !n.RecordsLost {
		delete(e.s.recordsLost, n.Unit)
		return
	}
	if _, known := e.s.recordsLost[n.Unit]; !known {
		e.s.recordsLost[n.Unit] = e.s.tbl.Revision() + 1
	}
}

// lostAgain restarts the time for which a unit's records count as lost.
func (e *edit) lostAgain(u shard.Unit) { e.s.recordsLost[u] = e.s.tbl.Revision() + 1 }

// resize creates a key space with count empty shards, or removes it.
func (e *edit) resize(name string, count uint32) {
	e.s.tbl.EachInKeyspace(name, func(old *table.Entry) bool {
		if now, ok := e.get(old.Unit); ok {
			e.s.unindex(&now)
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

// commit makes the collected changes one table revision and one directory
// revision.
func (e *edit) commit() {
	if e.touched {
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
		// Every unit was checked against the table before it was put.
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
