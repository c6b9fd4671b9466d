package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// maxShards bounds the shards of one key space, so that a mistyped document
// cannot make a table that no process has memory for.
const maxShards = 1 << 20

func (s *State) applyDocument(e *edit, c *ApplyDocument) Result {
	if c.ChangeID == "" || c.Author == "" {
		return refuse(RefusedInvalid, "a document needs a change id and an author")
	}
	current := s.documents.last()
	if c.Base != current.Revision {
		r := refuse(RefusedConflict, fmt.Sprintf("the change is based on revision %d; the current revision is %d", c.Base, current.Revision))
		r.ChangedBy, r.ChangeID = current.Author, current.ChangeID
		return r
	}
	doc := &config.Document{}
	if err := json.Unmarshal(c.Text, doc); err != nil {
		return refuse(RefusedInvalid, "the document is not valid JSON: "+err.Error())
	}
	spaces, finding := keyspacesOf(doc)
	if finding == "" {
		finding = s.resized(spaces)
	}
	if finding != "" {
		return refuse(RefusedInvalid, finding)
	}
	gains := gaining(s.doc, doc)
	s.replaceKeyspaces(e, spaces, gains)
	s.doc = doc
	s.documents.add(DocumentRevision{
		Revision: current.Revision + 1, Author: c.Author, ChangeID: c.ChangeID, Index: s.index, Text: slices.Clone(c.Text), AtMs: c.AtMs,
	})
	s.refreshStates(e)
	return Result{}
}

// keyspacesOf returns the key spaces of a document, or a finding.
func keyspacesOf(doc *config.Document) (map[string]keyspace, string) {
	out := map[string]keyspace{}
	for i := range doc.Services {
		service := doc.Services[i].WithDefaults()
		for _, k := range doc.Services[i].Keyspaces() {
			if _, twice := out[k.Name]; twice {
				return nil, fmt.Sprintf("key space %q is defined twice", k.Name)
			}
			if k.Shards > maxShards {
				return nil, fmt.Sprintf("key space %q has %d shards; the most is %d", k.Name, k.Shards, maxShards)
			}
			info := keyspace{Keyspace: k, lifetimeMs: service.RecordLifetimeMs}
			if service.Payments {
				info.copies = service.RecordCopies
			}
			out[k.Name] = info
		}
	}
	return out, ""
}

// resized returns a finding if a key space's shard count changes: the ranges
// of its units would overlap those that members still serve.
func (s *State) resized(spaces map[string]keyspace) string {
	for _, name := range slices.Sorted(maps.Keys(spaces)) {
		if old := s.tbl.Shards(name); old != 0 && old != spaces[name].Shards {
			return fmt.Sprintf("key space %q has %d shards; changing the count to %d is not supported", name, old, spaces[name].Shards)
		}
	}
	return ""
}

// replaceKeyspaces creates and removes key spaces. A new one waits behind a
// barrier, because members may still serve its keys under an earlier document.
// A removed one leaves a barrier, so that no member that may still serve it is
// removed from the directory and thereby forgotten.
func (s *State) replaceKeyspaces(e *edit, spaces map[string]keyspace, gains []string) {
	for _, name := range s.tbl.Keyspaces() {
		if _, kept := spaces[name]; !kept {
			e.resize(name, 0)
			s.raise(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(spaces)) {
		if s.tbl.Shards(name) != 0 {
			continue
		}
		s.raise(name)
		count := spaces[name].Shards
		e.resize(name, count)
		for i := range count {
			e.put(table.Entry{Unit: shard.Unit{Keyspace: name, Shard: i}, Epoch: s.epochFloor + 1})
		}
	}
	for _, name := range gains {
		if s.tbl.Shards(name) != 0 {
			s.pause(e, name)
		}
	}
	s.keyspaces = spaces
}
