package table

import (
	"cmp"
	"maps"
	"slices"

	"bramleyquay.example/coord/shard"
)

// Table is an immutable ownership table. It is safe for concurrent readers.
type Table struct {
	revision  uint64
	keyspaces map[string]*keyspace
}

type keyspace struct {
	shards []*Entry          // by index; nil without an entry
	splits map[uint64]*Entry // split keys by hash
}

// Empty returns a table without units at revision 0.
func Empty() *Table { return &Table{keyspaces: map[string]*keyspace{}} }

// Revision returns the table's revision. It increases with every change.
func (t *Table) Revision() uint64 { return t.revision }

// Lookup returns the entry of the unit that the key with this hash belongs to, or
// nil if the key space is unknown or the unit has no entry.
func (t *Table) Lookup(name string, hash uint64) *Entry {
	k := t.keyspaces[name]
	if k == nil || len(k.shards) == 0 {
		return nil
	}
	if len(k.splits) > 0 {
		if e := k.splits[hash]; e != nil {
			return e
		}
	}
	return k.shards[shard.IndexForHash(hash, uint32(len(k.shards)))]
}

// Entry returns the entry of a unit, or nil if there is none.
func (t *Table) Entry(u shard.Unit) *Entry {
	k := t.keyspaces[u.Keyspace]
	switch {
	case k == nil:
		return nil
	case u.IsSplit():
		return k.splits[u.KeyHash]
	case int(u.Shard) >= len(k.shards):
		return nil
	default:
		return k.shards[u.Shard]
	}
}

// Shards returns the number of shards of a key space, or 0 if it is unknown.
func (t *Table) Shards(name string) uint32 {
	if k := t.keyspaces[name]; k != nil {
		return uint32(len(k.shards))
	}
	return 0
}

// Keyspaces returns the names of the key spaces in ascending order.
func (t *Table) Keyspaces() []string {
	return slices.Sorted(maps.Keys(t.keyspaces))
}

// Each calls f for every entry in a fixed order: by name of the key space, then
// shards by index, then split keys by hash. It stops when f returns false.
func (t *Table) Each(f func(*Entry) bool) {
	for _, name := range t.Keyspaces() {
		if !t.keyspaces[name].each(f) {
			return
		}
	}
}

// EachInKeyspace is like Each for the entries of one key space.
func (t *Table) EachInKeyspace(name string, f func(*Entry) bool) {
	if k := t.keyspaces[name]; k != nil {
		k.each(f)
	}
}

// EachSplitKey calls f for the split keys of a key space, in no fixed order.
func (t *Table) EachSplitKey(name string, f func(*Entry)) {
	if k := t.keyspaces[name]; k != nil {
		for _, e := range k.splits {
			f(e)
		}
	}
}

// Len returns the number of units of all key spaces.
func (t *Table) Len() int {
	n := 0
	for _, k := range t.keyspaces {
		n += len(k.shards) + len(k.splits)
	}
	return n
}

func (k *keyspace) each(f func(*Entry) bool) bool {
	for _, e := range k.shards {
		if e != nil && !f(e) {
			return false
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(k.splits), cmp.Compare[uint64]) {
		if !f(k.splits[key]) {
			return false
		}
	}
	return true
}
