package table

import (
	"cmp"
	"maps"
	"slices"

	"bramleyquay.example/coord/shard"
)

// Table is an immutable ownership table. It is safe for concurrent readers.
type Table struct {
	revision uint64
	services map[string]*service
}

type service struct {
	shards []*Entry
	splits map[uint64]*Entry
}

// Empty returns a table without units at revision 0.
func Empty() *Table { return &Table{services: map[string]*service{}} }

// Revision rises with every change of the table and never falls.
func (t *Table) Revision() uint64 { return t.revision }

// Lookup returns the entry of the unit that holds the key with this hash, or
// nil if the service has no units.
func (t *Table) Lookup(name string, hash uint64) *Entry {
	s := t.services[name]
	if s == nil || len(s.shards) == 0 {
		return nil
	}
	if len(s.splits) > 0 {
		if e := s.splits[hash]; e != nil {
			return e
		}
	}
	return s.shards[shard.IndexForHash(hash, uint32(len(s.shards)))]
}

// Entry returns the entry of a unit, or nil.
func (t *Table) Entry(u shard.Unit) *Entry {
	s := t.services[u.Keyspace]
	switch {
	case s == nil:
		return nil
	case u.IsSplit():
		return s.splits[u.KeyHash]
	case int(u.Shard) >= len(s.shards):
		return nil
	default:
		return s.shards[u.Shard]
	}
}

// Shards returns the number of shards of a service.
func (t *Table) Shards(name string) uint32 {
	if s := t.services[name]; s != nil {
		return uint32(len(s.shards))
	}
	return 0
}

// Keyspaces returns the service names in ascending order.
func (t *Table) Keyspaces() []string {
	return slices.Sorted(maps.Keys(t.services))
}

// Each calls f for every entry in a fixed order: by service, then shards by
// index, then split keys by hash. It stops when f returns false.
func (t *Table) Each(f func(*Entry) bool) {
	for _, name := range t.Keyspaces() {
		if !t.services[name].each(f) {
			return
		}
	}
}

// EachInKeyspace is Each for one service.
func (t *Table) EachInKeyspace(name string, f func(*Entry) bool) {
	if s := t.services[name]; s != nil {
		s.each(f)
	}
}

// EachSplitKey calls f for the split keys of a service, in no fixed order.
func (t *Table) EachSplitKey(name string, f func(*Entry)) {
	if s := t.services[name]; s != nil {
		for _, e := range s.splits {
			f(e)
		}
	}
}

// Len returns the number of units.
func (t *Table) Len() int {
	n := 0
	for _, s := range t.services {
		n += len(s.shards) + len(s.splits)
	}
	return n
}

func (s *service) each(f func(*Entry) bool) bool {
	for _, e := range s.shards {
		if e != nil && !f(e) {
			return false
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.splits), cmp.Compare[uint64]) {
		if !f(s.splits[key]) {
			return false
		}
	}
	return true
}
