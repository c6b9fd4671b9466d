package control

import (
	"fmt"
	"maps"
	"slices"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
)

// barrier stops service of a key space until no member can act on an earlier
// document or table any more. Without it, a member that has not seen a changed
// key rule would serve keys that another one serves under the new rule.
type barrier struct {
	// Table and Config are the revisions that every member must have reached.
	Table  uint64 `cbor:"1,keyasint"`
	Config uint64 `cbor:"2,keyasint"`
}

// Barrier is a key space that waits for members to reach a revision.
type Barrier struct {
	Keyspace       string `json:"keyspace"`
	TableRevision  uint64 `json:"tableRevision"`
	ConfigRevision uint64 `json:"configRevision"`
}

// Barriers returns the key spaces that wait, by ascending name.
func (s *State) Barriers() []Barrier {
	var out []Barrier
	for _, name := range slices.Sorted(maps.Keys(s.barriers)) {
		b := s.barriers[name]
		out = append(out, Barrier{name, b.Table, b.Config})
	}
	return out
}

// raise sets the barrier of a key space for the document that is being applied.
func (s *State) raise(name string) {
	s.barriers[name] = barrier{Table: s.tbl.Revision() + 1, Config: s.documents.last().Revision + 1}
}

// pause stops service of a key space. Owners stay named and resume later.
func (s *State) pause(e *edit, name string) {
	s.raise(name)
	s.tbl.EachInKeyspace(name, func(old *table.Entry) bool {
		n, _ := e.get(old.Unit)
		if n.Owner != "" {
			n.Phase, n.NextOwner = table.Unowned, ""
			n.Epoch++
			e.put(n)
		}
		return true
	})
}

// releaseKeyspace ends a barrier: owners serve again, and units without owner
// can be assigned.
func (s *State) releaseKeyspace(e *edit, c *ClearBarrier) Result {
	if b, ok := s.barriers[c.Name]; !ok || b.Table != c.Revision {
		return refuse(RefusedStale, fmt.Sprintf("key space %q does not wait since table revision %d", c.Name, c.Revision))
	}
	delete(s.barriers, c.Name)
	s.tbl.EachInKeyspace(c.Name, func(old *table.Entry) bool {
		n, _ := e.get(old.Unit)
		if r := s.members[n.Owner]; r != nil && r.Member.State != MemberLost && n.Phase == table.Unowned {
			n.Phase = table.Serving
			n.Epoch++
			e.put(n)
		}
		return true
	})
	return Result{}
}

// gaining returns the key spaces that exist in both documents and take over
// keys that another key space served.
func gaining(before, after *config.Document) []string {
	var out []string
	for i := range after.Services {
		next := &after.Services[i]
		prev := before.Service(next.Name)
		if prev == nil || !prev.Sharded() || !next.Sharded() {
			continue
		}
		// The shortest key of each range of keys between prefixes is the
		// prefix itself, so testing all prefixes tests all ranges.
		prefixes := []string{""}
		for _, r := range slices.Concat(prev.Rules, next.Rules) {
			prefixes = append(prefixes, r.Prefix)
		}
		for _, p := range prefixes {
			from, had := prev.KeyspaceOf(p)
			to, has := next.KeyspaceOf(p)
			if had && has && from != to {
				out = append(out, to)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
