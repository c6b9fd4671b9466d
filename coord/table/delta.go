package table

import (
	"maps"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("table")

// Delta carries a table from FromRevision to ToRevision. A Full delta
// replaces the whole table, whatever its revision.
type Delta struct {
	FromRevision uint64 `json:"from" cbor:"1,keyasint"`
	ToRevision   uint64 `json:"to" cbor:"2,keyasint"`
	Full         bool   `json:"full,omitempty" cbor:"3,keyasint,omitempty"`
	// Shards gives the shard count of each service that is new or changed; a
	// count of 0 removes the service.
	Shards  map[string]uint32 `json:"shards,omitempty" cbor:"4,keyasint,omitempty"`
	Entries []Entry           `json:"entries,omitempty" cbor:"5,keyasint,omitempty"`
}

// Apply returns the table after d. It fails if d does not start at t's
// revision; the caller then asks for a full delta. A delta that is not newer
// than t is ignored, so that revisions never fall.
func (t *Table) Apply(d Delta) (*Table, error) {
	if d.ToRevision <= t.revision {
		return t, nil
	}
	if !d.Full && d.FromRevision != t.revision {
		return nil, Error.New("delta starts at revision %d, table is at %d", d.FromRevision, t.revision)
	}
	next := &Table{revision: d.ToRevision, services: map[string]*service{}}
	if !d.Full {
		maps.Copy(next.services, t.services)
	}
	owned := map[string]bool{}
	for name, count := range d.Shards {
		next.resize(name, count)
		owned[name] = true
	}
	for i := range d.Entries {
		if err := next.set(&d.Entries[i], owned); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// resize drops a service's entries and makes count empty ones.
func (t *Table) resize(name string, count uint32) {
	if count == 0 {
		delete(t.services, name)
		return
	}
	t.services[name] = &service{shards: make([]*Entry, count), splits: map[uint64]*Entry{}}
}

// set stores an entry and copies the service first unless owned says that
// this table already has its own copy.
func (t *Table) set(e *Entry, owned map[string]bool) error {
	s := t.services[e.Unit.Keyspace]
	if s == nil {
		return Error.New("delta names unknown service %q", e.Unit.Keyspace)
	}
	if !owned[e.Unit.Keyspace] {
		s = &service{shards: slices.Clone(s.shards), splits: maps.Clone(s.splits)}
		t.services[e.Unit.Keyspace] = s
		owned[e.Unit.Keyspace] = true
	}
	return s.set(e)
}

func (s *service) set(e *Entry) error {
	if int(e.Unit.Shard) >= len(s.shards) {
		return Error.New("delta names unit %s beyond %d shards", e.Unit, len(s.shards))
	}
	switch {
	case e.Unit.IsSplit() && e.Removed:
		delete(s.splits, e.Unit.KeyHash)
	case e.Unit.IsSplit():
		s.splits[e.Unit.KeyHash] = e
	default:
		s.shards[e.Unit.Shard] = e
	}
	return nil
}

// Snapshot returns the full delta that rebuilds t.
func (t *Table) Snapshot() Delta {
	d := Delta{ToRevision: t.revision, Full: true, Shards: map[string]uint32{}}
	for name, s := range t.services {
		d.Shards[name] = uint32(len(s.shards))
	}
	t.Each(func(e *Entry) bool {
		d.Entries = append(d.Entries, *e)
		return true
	})
	return d
}
