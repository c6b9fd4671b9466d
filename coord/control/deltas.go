package control

import (
	"slices"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

const (
	// maxDeltaRevisions bounds the table revisions that can be sent as a delta, so
	// that a member does not need the full table after an outage of its
	// connection. A member renews four times a second. Each start and each end
	// of a move is one revision: 1,024 revisions cover 0.2 s of a data centre
	// drain at the default limit of 2,500 starts a second, and longer outages
	// at lower rates.
	maxDeltaRevisions = 1_024
	// maxDeltaEntries bounds the entries of the retained deltas. With more
	// entries than a table of 66,000 units, the full table is as cheap.
	maxDeltaEntries = 66_000
	// maxCachedDeltas bounds the merged table deltas, and the directory updates,
	// that are cached for the current revision.
	maxCachedDeltas = 256
)

// deltaHistory holds recent table changes. It is not part of the replicated
// state: a member with an older table gets the full table.
type deltaHistory struct {
	deltas  []*table.Delta
	entries int
	merged  map[uint64]*table.Delta // by the revision that it starts from; each ends at the current revision
	full    *table.Delta
}

func (h *deltaHistory) add(d *table.Delta) {
	h.deltas = append(h.deltas, d)
	h.entries += len(d.Entries)
	for len(h.deltas) > 1 && (len(h.deltas) > maxDeltaRevisions || h.entries > maxDeltaEntries) {
		h.entries -= len(h.deltas[0].Entries)
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
	h.merged, h.full = nil, nil
}

// since returns the delta from a revision to t, or nil if from is not older than
// t. A newer from needs no delta, because revisions never decrease. It returns the
// full table if the retained deltas do not reach back to from.
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
	if len(h.merged) < maxCachedDeltas {
		h.merged[from] = d
	}
	return d
}

// merge returns one delta from a retained revision to t.
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
	// Key spaces that were created in between are sent with all entries.
	for name := range d.Shards {
		t.EachInKeyspace(name, func(e *table.Entry) bool {
			d.Entries = append(d.Entries, *e)
			return true
		})
	}
	slices.SortFunc(d.Entries, func(a, b table.Entry) int { return compareUnits(a.Unit, b.Unit) })
	return d
}
