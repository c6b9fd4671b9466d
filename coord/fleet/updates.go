package fleet

import (
	"slices"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// history keeps what recent states looked like, so that processes that know
// one of them need only the difference. It is not replicated: a replica that
// does not know the state sends everything.
type history struct {
	documents []pastDocument
	spaces    map[string][]Keyspace
}

type pastDocument struct {
	index    uint64
	document *routes.Document
	// patch leads to the document of log index to. All members ask for the same
	// one after a change.
	patch *routes.Patch
	to    uint64
}

// maxHistory bounds the earlier states that are kept of each part.
const maxHistory = 64

func (h *history) addDocument(index uint64, d *routes.Document) {
	h.documents = append(h.documents, pastDocument{index: index, document: d})
	if len(h.documents) > maxHistory {
		h.documents = slices.Clone(h.documents[1:])
	}
}

func (h *history) addSpace(service string, s Keyspace) {
	if h.spaces == nil {
		h.spaces = map[string][]Keyspace{}
	}
	list := append(h.spaces[service], s)
	if len(list) > maxHistory {
		list = slices.Clone(list[1:])
	}
	h.spaces[service] = list
}

// DocumentSince returns what a process needs that knows the document of a log
// index: a patch, or the whole document if the index is not remembered.
func (st *State) DocumentSince(index uint64) (*routes.Patch, *routes.Document) {
	if st.s.Document == nil || index == st.s.DocumentIndex {
		return nil, nil
	}
	for i := range st.past.documents {
		p := &st.past.documents[i]
		if p.index != index {
			continue
		}
		if p.to != st.s.DocumentIndex {
			p.patch, p.to = routes.Diff(p.document, st.s.Document), st.s.DocumentIndex
		}
		return p.patch, nil
	}
	return nil, st.s.Document
}

// KeyspaceUpdate carries rows of one key space in a compact form.
type KeyspaceUpdate struct {
	// BaseRevision is the revision that the rows change; 0 if they are all rows.
	BaseRevision uint64 `json:"base,omitempty"`
	Revision     uint64 `json:"revision"`
	// Holders are named by their place plus one in the rows; 0 is nobody.
	Holders []ranges.Holder `json:"holders,omitempty"`
	// Ranges hold from, to, holder, fence, and 1 for a releasing row.
	Ranges [][5]uint64 `json:"rows"`
	// HandoverTokens are the handover tokens by place in Ranges.
	HandoverTokens map[int]string `json:"tokens,omitempty"`
}

// KeyspacesSince returns the updates that a process needs that knows the rows of
// a log index.
func (st *State) KeyspacesSince(index uint64) map[string]KeyspaceUpdate {
	if index == st.s.RowsIndex {
		return nil
	}
	out := map[string]KeyspaceUpdate{}
	for service, space := range st.s.Spaces {
		if space.Revision > index || index == 0 {
			out[service] = encodeSpace(space, st.spaceAt(service, index))
		}
	}
	return out
}

// spaceAt returns the key space as a process knows it that knows the rows of
// a log index; a zero Keyspace if that is not remembered.
func (st *State) spaceAt(service string, index uint64) Keyspace {
	list := st.past.spaces[service]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Revision <= index {
			return list[i]
		}
	}
	return Keyspace{}
}

func encodeSpace(space, base Keyspace) KeyspaceUpdate {
	u := KeyspaceUpdate{BaseRevision: base.Revision, Revision: space.Revision, Ranges: [][5]uint64{}}
	known := make(map[ranges.Range]bool, len(base.Ranges))
	for _, r := range base.Ranges {
		known[r] = true
	}
	places := map[ranges.Holder]uint64{}
	for _, r := range space.Ranges {
		if known[r] {
			continue
		}
		row := [5]uint64{uint64(r.From), uint64(r.To), 0, r.Fence, 0}
		if !r.Holder.IsZero() {
			if places[r.Holder] == 0 {
				u.Holders = append(u.Holders, r.Holder)
				places[r.Holder] = uint64(len(u.Holders))
			}
			row[2] = places[r.Holder]
		}
		if r.Releasing {
			row[4] = 1
		}
		if r.HandoverToken != "" {
			if u.HandoverTokens == nil {
				u.HandoverTokens = map[int]string{}
			}
			u.HandoverTokens[len(u.Ranges)] = r.HandoverToken
		}
		u.Ranges = append(u.Ranges, row)
	}
	return u
}

// Apply returns the key space after an update; false if it does not fit what
// the process knows.
func (u KeyspaceUpdate) Apply(space Keyspace) (Keyspace, bool) {
	if u.BaseRevision != 0 && u.BaseRevision != space.Revision {
		return Keyspace{}, false
	}
	rows := make([]ranges.Range, 0, len(u.Ranges))
	for i, row := range u.Ranges {
		r := ranges.Range{From: uint16(row[0]), To: uint16(row[1]), Fence: row[3], Releasing: row[4] == 1, HandoverToken: u.HandoverTokens[i]}
		if n := row[2]; n > uint64(len(u.Holders)) {
			return Keyspace{}, false
		} else if n > 0 {
			r.Holder = u.Holders[n-1]
		}
		rows = append(rows, r)
	}
	if u.BaseRevision != 0 {
		rows = overlay(space.Ranges, rows)
	}
	return Keyspace{Revision: u.Revision, Ranges: rows}, ranges.Covers(rows)
}

// overlay replaces the old rows that new ones overlap.
func overlay(old, changed []ranges.Range) []ranges.Range {
	out := slices.Clone(changed)
	for _, r := range old {
		if !slices.ContainsFunc(changed, func(c ranges.Range) bool { return c.From <= r.To && r.From <= c.To }) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b ranges.Range) int { return int(a.From) - int(b.From) })
	return out
}

// MembersUpdate carries the directory or what changed in it.
type MembersUpdate struct {
	// Full says that Members are all.
	Full    bool     `json:"whole,omitempty"`
	Members []Member `json:"members,omitempty"`
	// Removed names processes.
	Removed []string `json:"removed,omitempty"`
}

// directory is the leader's list of members with its recent changes.
type directory struct {
	number  uint64
	changes []directoryChange // the newest last, one for each number
}

type directoryChange struct {
	member  Member
	removed bool
}

func (d *directory) add(m Member, removed bool) {
	d.number++
	d.changes = append(d.changes, directoryChange{m, removed})
	if len(d.changes) > maxDirectoryChanges {
		d.changes = slices.Clone(d.changes[1:])
	}
}

// maxDirectoryChanges bounds the changes that are remembered: twice the members
// of a large deployment.
const maxDirectoryChanges = 1024

// since returns the changes after a number; false if they are not remembered.
func (d *directory) since(number uint64) (*MembersUpdate, bool) {
	if number > d.number || d.number-number > uint64(len(d.changes)) {
		return nil, false
	}
	u := &MembersUpdate{}
	last := map[string]directoryChange{}
	for _, c := range d.changes[uint64(len(d.changes))-(d.number-number):] {
		last[c.member.Process] = c
	}
	for process, c := range last {
		if c.removed {
			u.Removed = append(u.Removed, process)
		} else {
			u.Members = append(u.Members, c.member)
		}
	}
	return u, true
}
