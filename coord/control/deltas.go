package control

import (
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

const (
	// deltaRevisions bounds the table revisions that can be sent as a delta. A
	// member renews four times a second; 1,024 revisions cover an outage of
	// its connection during a data centre drain.
	deltaRevisions = 1_024
	// deltaEntries bounds the entries kept for them. Beyond a whole table of
	// 66,000 entries, a full delta is as cheap.
	deltaEntries = 66_000
	// deltaCache bounds the merged deltas kept for the current revision.
	deltaCache = 256
)

// deltaHistory keeps recent table changes. It is not part of the replicated
// state: a holder that is too old gets the full table.
type deltaHistory struct {
	deltas  []*table.Delta
	entries int
	merged  map[uint64]*table.Delta // by start, for the current revision
	full    *table.Delta
}

func (h *deltaHistory) add(d *table.Delta) {
	h.deltas = append(h.deltas, d)
	h.entries += len(d.Entries)
	for len(h.deltas) > 1 && (len(h.deltas) > deltaRevisions || h.entries > deltaEntries) {
		h.entries -= len(h.deltas[0].Entries)
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
	h.merged, h.full = nil, nil
}

// since returns the delta from a revision to t, or nil if there is none. A
// revision ahead of t needs nothing either: revisions never fall.
func (h *deltaHistory) since(t *table.Table, from uint64) *table.Delta {
	if from >= t.Revision() {
		return nil
	}
	if len(h.deltas) == 0 || from < h.deltas[0].FromRevision {
		if h.full == nil {
			d := t.Snapshot()
			h.full = &d
		}
		return h.full
	}
	if d := h.merged[from]; d != nil {
		return d
	}
	d := h.merge(t, from)
	if h.merged == nil {
		h.merged = map[uint64]*table.Delta{}
	}
	if len(h.merged) < deltaCache {
		h.merged[from] = d
	}
	return d
}

func (h *deltaHistory) merge(t *table.Table, from uint64) *table.Delta {
	newer := h.deltas[from-h.deltas[0].FromRevision:]
	if len(newer) == 1 {
		return newer[0]
	}
	d := &table.Delta{FromRevision: from, ToRevision: t.Revision()}
	units := map[shard.Unit]struct{}{}
	for _, part := range newer {
		for name := range part.Shards {
			if d.Shards == nil {
				d.Shards = map[string]uint32{}
			}
			d.Shards[name] = t.Shards(name)
		}
		for i := range part.Entries {
			units[part.Entries[i].Unit] = struct{}{}
		}
	}
	for u := range units {
		if _, reset := d.Shards[u.Keyspace]; reset {
			continue
		}
		if e := t.Entry(u); e != nil {
			d.Entries = append(d.Entries, *e)
		} else {
			d.Entries = append(d.Entries, table.Entry{Unit: u, Removed: true})
		}
	}
	// A key space that was created in between is sent as a whole.
	for name := range d.Shards {
		t.EachInKeyspace(name, func(e *table.Entry) bool {
			d.Entries = append(d.Entries, *e)
			return true
		})
	}
	slices.SortFunc(d.Entries, func(a, b table.Entry) int { return compareUnits(a.Unit, b.Unit) })
	return d
}
