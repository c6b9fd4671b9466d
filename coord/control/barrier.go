package control

import (
	"fmt"
	"maps"
	"slices"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
)

// barrier keeps a key space out of service until every member with a lease has
// the document and table of the change. Without it, a member that has not seen a
// changed key rule would serve keys that another member serves under the new rule.
// A removed key space has a barrier too. While any barrier is set, no leaving member
// may stop, and only lost members may be removed or replaced.
type barrier struct {
	// Table and Config are the revisions that every member with a lease must
	// have reported.
	Table  uint64 `cbor:"1,keyasint"`
	Config uint64 `cbor:"2,keyasint"`
}

// Barrier is the barrier of a key space, which is cleared once all members with a
// lease have reported these revisions. Until then a new or changed key space is not
// served; that of a removed one only delays the removal and replacement of members.
type Barrier struct {
	Keyspace       string `json:"keyspace"`
	TableRevision  uint64 `json:"tableRevision"`
	ConfigRevision uint64 `json:"configRevision"`
}

// Barriers returns the key spaces with a barrier, by ascending name.
func (s *State) Barriers() []Barrier {
	var out []Barrier
	for _, name := range slices.Sorted(maps.Keys(s.barriers)) {
		b := s.barriers[name]
		out = append(out, Barrier{name, b.Table, b.Config})
	}
	return out
}

// raiseBarrier sets the barrier of a key space for the document that is being
// applied.
func (s *State) raiseBarrier(name string) {
	s.barriers[name] = barrier{Table: s.tbl.Revision() + 1, Config: s.documents.last().Revision + 1}
}

// pauseKeyspace sets the barrier of a key space, cancels its moves and takes its
// units out of service under a new epoch. Their owners stay recorded and serve again
// once the barrier is cleared.
func (s *State) pauseKeyspace(e *edit, name string) {
	s.raiseBarrier(name)
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

// clearBarrier removes a barrier: owners serve again, and units without an owner
// can be assigned.
func (s *State) clearBarrier(e *edit, c *ClearBarrier) Result {
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

// keyspacesGainingKeys returns the key spaces that take over keys of another key
// space, sorted. Only services of both documents are compared.
func keyspacesGainingKeys(before, after *config.Document) []string {
	var out []string
	for i := range after.Services {
		next := &after.Services[i]
		prev := before.Service(next.Name)
		if prev == nil || !prev.Sharded() || !next.Sharded() {
			continue
		}
		// A key is in the same key spaces as the longest prefix, of either document,
		// that it starts with. So it is enough to compare the key spaces of all
		// prefixes.
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
