package fleet

import (
	"slices"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// history retains recent documents and key spaces, so that a process that has
// applied one of them is sent only the difference. It is not replicated: a
// replica whose history lacks the base sends the whole state.
type history struct {
	documents []pastDocument
	keyspaces map[string][]Keyspace
}

type pastDocument struct {
	index    uint64
	document *routes.Document
	bytes    int
	// patch is the cached difference to the document of log index patchIndex.
	// After a change all members need the same patch.
	patch      *routes.Patch
	patchIndex uint64
}

const (
	// maxHistory bounds the retained documents, and the retained revisions of each
	// key space.
	maxHistory = 64
	// maxHistoryBytes bounds the memory of the retained documents, and of the retained
	// revisions of each key space. The newest and the one before it are always retained:
	// nearly all members need the difference between these.
	maxHistoryBytes = 4 << 20
	// rangeBytes is the memory of a range, roughly.
	rangeBytes = 128
)

// addDocument adds the newest document. bytes is the memory that it takes, roughly.
func (h *history) addDocument(index uint64, d *routes.Document, bytes int) {
	h.documents = append(h.documents, pastDocument{index: index, document: d, bytes: bytes})
	h.documents = dropOldest(h.documents, func(p pastDocument) int { return p.bytes })
}

func (h *history) addKeyspace(service string, s Keyspace) {
	if h.keyspaces == nil {
		h.keyspaces = map[string][]Keyspace{}
	}
	h.keyspaces[service] = dropOldest(append(h.keyspaces[service], s), func(k Keyspace) int { return rangeBytes * len(k.Ranges) })
}

// dropOldest returns the newest items that maxHistory and maxHistoryBytes allow.
func dropOldest[T any](items []T, bytes func(T) int) []T {
	first, total := len(items), 0
	for first > 0 && len(items)-first < maxHistory {
		if total += bytes(items[first-1]); total > maxHistoryBytes && len(items)-first >= 2 {
			break
		}
		first--
	}
	if first == 0 {
		return items
	}
	return slices.Clone(items[first:])
}

// DocumentSince returns the update for a process that has applied the document
// of a log index: a patch, or the whole document if that one is not in the
// history. Both are nil if the process is up to date.
func (st *State) DocumentSince(index uint64) (*routes.Patch, *routes.Document) {
	if st.stored.Document == nil || index == st.stored.DocumentIndex {
		return nil, nil
	}
	for i := range st.history.documents {
		p := &st.history.documents[i]
		if p.index != index {
			continue
		}
		if p.patchIndex != st.stored.DocumentIndex {
			p.patch, p.patchIndex = routes.Diff(p.document, st.stored.Document), st.stored.DocumentIndex
		}
		return p.patch, nil
	}
	return nil, st.stored.Document
}

// KeyspaceUpdate holds all or only the changed ranges of one key space, in a
// compact form.
type KeyspaceUpdate struct {
	// BaseRevision is the revision that the update applies to, 0 if Ranges are
	// all ranges of the key space.
	BaseRevision uint64 `json:"base,omitempty"`
	Revision     uint64 `json:"revision"`
	// Holders are the holders that Ranges refer to by their index plus one; 0
	// means no holder.
	Holders []ranges.Holder `json:"holders,omitempty"`
	// Ranges are tuples of first key, last key, holder, fence, and 1 if a release
	// is requested.
	Ranges [][5]uint64 `json:"rows"`
	// HandoverTokens are the handover tokens by index in Ranges.
	HandoverTokens map[int]string `json:"tokens,omitempty"`
}

// KeyspacesSince returns, by service, the updates for a process that has applied
// the key spaces of a log index. It is nil if the process is up to date.
func (st *State) KeyspacesSince(index uint64) map[string]KeyspaceUpdate {
	if index == st.stored.RangesIndex {
		return nil
	}
	out := map[string]KeyspaceUpdate{}
	for service, keyspace := range st.stored.Keyspaces {
		if keyspace.Revision > index || index == 0 {
			out[service] = encodeUpdate(keyspace, st.keyspaceAt(service, index))
		}
	}
	return out
}

// keyspaceAt returns the key space of a service as of a log index, or a zero
// Keyspace if it is not in the history.
func (st *State) keyspaceAt(service string, index uint64) Keyspace {
	revisions := st.history.keyspaces[service]
	for i := len(revisions) - 1; i >= 0; i-- {
		if revisions[i].Revision <= index {
			return revisions[i]
		}
	}
	return Keyspace{}
}

// encodeUpdate returns the update from base to keyspace.
func encodeUpdate(keyspace, base Keyspace) KeyspaceUpdate {
	u := KeyspaceUpdate{BaseRevision: base.Revision, Revision: keyspace.Revision, Ranges: [][5]uint64{}}
	unchanged := make(map[ranges.Range]bool, len(base.Ranges))
	for _, r := range base.Ranges {
		unchanged[r] = true
	}
	indexes := map[ranges.Holder]uint64{}
	for _, r := range keyspace.Ranges {
		if unchanged[r] {
			continue
		}
		tuple := [5]uint64{uint64(r.From), uint64(r.To), 0, r.Fence, 0}
		if !r.Holder.IsZero() {
			if indexes[r.Holder] == 0 {
				u.Holders = append(u.Holders, r.Holder)
				indexes[r.Holder] = uint64(len(u.Holders))
			}
			tuple[2] = indexes[r.Holder]
		}
		if r.Releasing {
			tuple[4] = 1
		}
		if r.HandoverToken != "" {
			if u.HandoverTokens == nil {
				u.HandoverTokens = map[int]string{}
			}
			u.HandoverTokens[len(u.Ranges)] = r.HandoverToken
		}
		u.Ranges = append(u.Ranges, tuple)
	}
	return u
}

// Apply returns the key space after the update. It returns false if the update
// applies to another revision or the result is not a valid key space.
func (u KeyspaceUpdate) Apply(keyspace Keyspace) (Keyspace, bool) {
	if u.BaseRevision != 0 && u.BaseRevision != keyspace.Revision {
		return Keyspace{}, false
	}
	keyRanges := make([]ranges.Range, 0, len(u.Ranges))
	for i, tuple := range u.Ranges {
		r := ranges.Range{From: uint16(tuple[0]), To: uint16(tuple[1]), Fence: tuple[3], Releasing: tuple[4] == 1, HandoverToken: u.HandoverTokens[i]}
		if n := tuple[2]; n > uint64(len(u.Holders)) {
			return Keyspace{}, false
		} else if n > 0 {
			r.Holder = u.Holders[n-1]
		}
		keyRanges = append(keyRanges, r)
	}
	if u.BaseRevision != 0 {
		keyRanges = replaceOverlapping(keyspace.Ranges, keyRanges)
	}
	return Keyspace{Revision: u.Revision, Ranges: keyRanges}, ranges.Covers(keyRanges)
}

// replaceOverlapping returns the changed ranges and those old ones that overlap
// none of them, in order.
func replaceOverlapping(old, changed []ranges.Range) []ranges.Range {
	out := slices.Clone(changed)
	for _, r := range old {
		if !slices.ContainsFunc(changed, func(c ranges.Range) bool { return c.From <= r.To && r.From <= c.To }) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b ranges.Range) int { return int(a.From) - int(b.From) })
	return out
}

// MembersUpdate holds the whole directory or the changes of it.
type MembersUpdate struct {
	// Full is set if Members is the whole directory.
	Full    bool     `json:"whole,omitempty"`
	Members []Member `json:"members,omitempty"`
	// Removed lists the processes of removed members.
	Removed []string `json:"removed,omitempty"`
}

// directory counts the changes of the leader's list of members and retains the
// recent ones.
type directory struct {
	revision uint64
	changes  []directoryChange // oldest first, one for each revision
}

type directoryChange struct {
	member  Member
	removed bool
}

func (d *directory) record(m Member, removed bool) {
	d.revision++
	d.changes = append(d.changes, directoryChange{m, removed})
	if len(d.changes) > maxDirectoryChanges {
		d.changes = slices.Clone(d.changes[1:])
	}
}

// maxDirectoryChanges bounds the retained changes: twice the members of a large
// deployment of 512. All of them can restart, with a removal and an addition of
// each, before a process needs the whole directory.
const maxDirectoryChanges = 1024

// since returns the changes after a revision, or false if not all of them are
// retained.
func (d *directory) since(revision uint64) (*MembersUpdate, bool) {
	if revision > d.revision || d.revision-revision > uint64(len(d.changes)) {
		return nil, false
	}
	u := &MembersUpdate{}
	last := map[string]directoryChange{}
	for _, c := range d.changes[uint64(len(d.changes))-(d.revision-revision):] {
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
