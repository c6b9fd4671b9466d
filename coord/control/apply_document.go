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

// maxShards bounds the shards of one key space that Apply accepts, so that a typing
// error in a document that was not validated cannot create a table that exceeds the
// memory of the processes. config.Validate has the lower bound config.MaxShards.
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
	spaces, fault := keyspacesOf(doc)
	if fault == "" {
		fault = s.checkShardCounts(spaces)
	}
	if fault != "" {
		return refuse(RefusedInvalid, fault)
	}
	gains := keyspacesGainingKeys(s.doc, doc)
	s.replaceKeyspaces(e, spaces, gains)
	s.doc = doc
	s.documents.add(DocumentRevision{
		Revision: current.Revision + 1, Author: c.Author, ChangeID: c.ChangeID, Index: s.index, Text: slices.Clone(c.Text), AtMs: c.AtMs,
	})
	s.refreshStates(e)
	return Result{}
}

// keyspacesOf returns the key spaces of a document by name, or a text that says why
// the document is invalid.
func keyspacesOf(doc *config.Document) (map[string]keyspace, string) {
	out := map[string]keyspace{}
	for i := range doc.Services {
		service := doc.Services[i].WithDefaults()
		for _, k := range doc.Services[i].Keyspaces() {
			if _, duplicate := out[k.Name]; duplicate {
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

// checkShardCounts returns a text that says so if the shard count of a key space
// changes. That is refused, because the new units would overlap with units that
// members still serve.
func (s *State) checkShardCounts(spaces map[string]keyspace) string {
	for _, name := range slices.Sorted(maps.Keys(spaces)) {
		if old := s.tbl.Shards(name); old != 0 && old != spaces[name].Shards {
			return fmt.Sprintf("key space %q has %d shards; changing the count to %d is not supported", name, old, spaces[name].Shards)
		}
	}
	return ""
}

// replaceKeyspaces creates and removes key spaces. A new key space gets a
// barrier, because members may still serve its keys under an earlier document.
// A removed key space gets one too: members that may still serve it must stay in
// the directory until they have the new document. Key spaces in gains take over
// keys of others and are paused.
func (s *State) replaceKeyspaces(e *edit, spaces map[string]keyspace, gains []string) {
	for _, name := range s.tbl.Keyspaces() {
		if _, kept := spaces[name]; !kept {
			e.resetKeyspace(name, 0)
			s.raiseBarrier(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(spaces)) {
		if s.tbl.Shards(name) != 0 {
			continue
		}
		s.raiseBarrier(name)
		count := spaces[name].Shards
		e.resetKeyspace(name, count)
		for i := range count {
			e.put(table.Entry{Unit: shard.Unit{Keyspace: name, Shard: i}, Epoch: s.epochFloor + 1})
		}
	}
	for _, name := range gains {
		if s.tbl.Shards(name) != 0 {
			s.pauseKeyspace(e, name)
		}
	}
	s.keyspaces = spaces
}
