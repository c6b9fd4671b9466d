package table

import (
	"maps"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("table")

// Delta is the change of a table from FromRevision to ToRevision. A Full delta
// replaces any table with a revision below ToRevision; its FromRevision is ignored.
type Delta struct {
	FromRevision uint64 `json:"from" cbor:"1,keyasint"`
	ToRevision   uint64 `json:"to" cbor:"2,keyasint"`
	Full         bool   `json:"full,omitempty" cbor:"3,keyasint,omitempty"`
	// Shards is the shard count of each key space that is new or changed. A listed
	// key space loses its earlier entries, so Entries must contain all its current
	// ones. A count of 0 removes the key space.
	Shards  map[string]uint32 `json:"shards,omitempty" cbor:"4,keyasint,omitempty"`
	Entries []Entry           `json:"entries,omitempty" cbor:"5,keyasint,omitempty"`
}

// Apply returns the table after d and leaves t unchanged. If d is not newer than
// t, it returns t, so that revisions never decrease. It returns an error if d is
// not full and does not start at t's revision, in which case the caller requests
// a full delta, or if an entry is in no shard of the table. The new table shares
// d.Entries, which must not be modified afterwards.
func (t *Table) Apply(d Delta) (*Table, error) {
	if d.ToRevision <= t.revision {
		return t, nil
	}
	if !d.Full && d.FromRevision != t.revision {
		return nil, Error.New("delta starts at revision %d, but the table is at revision %d", d.FromRevision, t.revision)
	}
	next := &Table{revision: d.ToRevision, keyspaces: map[string]*keyspace{}}
	if !d.Full {
		maps.Copy(next.keyspaces, t.keyspaces)
	}
	copied := map[string]bool{}
	for name, count := range d.Shards {
		next.resetKeyspace(name, count)
		copied[name] = true
	}
	for i := range d.Entries {
		if err := next.set(&d.Entries[i], copied); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// resetKeyspace removes a key space's entries and makes room for count shards. A
// count of 0 removes the key space.
func (t *Table) resetKeyspace(name string, count uint32) {
	if count == 0 {
		delete(t.keyspaces, name)
		return
	}
	t.keyspaces[name] = &keyspace{shards: make([]*Entry, count), splits: map[uint64]*Entry{}}
}

// set stores an entry. It copies the entry's key space first, because t shares it
// with the previous table, unless copied contains it.
func (t *Table) set(e *Entry, copied map[string]bool) error {
	k := t.keyspaces[e.Unit.Keyspace]
	if k == nil {
		return Error.New("delta has an entry of unknown key space %q", e.Unit.Keyspace)
	}
	if !copied[e.Unit.Keyspace] {
		k = &keyspace{shards: slices.Clone(k.shards), splits: maps.Clone(k.splits)}
		t.keyspaces[e.Unit.Keyspace] = k
		copied[e.Unit.Keyspace] = true
	}
	return k.set(e)
}

func (k *keyspace) set(e *Entry) error {
	if int(e.Unit.Shard) >= len(k.shards) {
		return Error.New("delta has an entry of unit %s, but its key space has %d shards", e.Unit, len(k.shards))
	}
	switch {
	case e.Unit.IsSplit() && e.Removed:
		delete(k.splits, e.Unit.KeyHash)
	case e.Unit.IsSplit():
		k.splits[e.Unit.KeyHash] = e
	default:
		k.shards[e.Unit.Shard] = e
	}
	return nil
}

// Snapshot returns the full delta that creates t from any table with a lower
// revision.
func (t *Table) Snapshot() Delta {
	d := Delta{ToRevision: t.revision, Full: true, Shards: map[string]uint32{}}
	for name, k := range t.keyspaces {
		d.Shards[name] = uint32(len(k.shards))
	}
	t.Each(func(e *Entry) bool {
		d.Entries = append(d.Entries, *e)
		return true
	})
	return d
}
