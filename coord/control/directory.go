package control

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/table"
)

// maxRemovals bounds the retained removals. Members with an older directory get
// the full one.
const maxRemovals = 1_000

// memberRecord is a registered member.
type memberRecord struct {
	Member Member `cbor:"1,keyasint"`
	// Revision is the directory revision of the last change.
	Revision uint64 `cbor:"2,keyasint"`
	// Manual is set while SetMemberState drains this member.
	Manual bool `cbor:"3,keyasint,omitempty"`
}

// removal is the removal of a member at a directory revision.
type removal struct {
	ID       table.MemberID `cbor:"1,keyasint"`
	Revision uint64         `cbor:"2,keyasint"`
}

// directoryLog holds the directory's revision and recent removals.
type directoryLog struct {
	revision      uint64
	forgottenUpTo uint64 // removals up to this revision are no longer retained
	removals      []removal
	cache         map[uint64]*DirectoryUpdate // by the revision that it starts from; each ends at the current revision
}

func (l *directoryLog) advance() {
	l.revision++
	l.cache = nil
}

func (l *directoryLog) addRemoval(id table.MemberID, revision uint64) {
	l.removals = append(l.removals, removal{ID: id, Revision: revision})
	if len(l.removals) > maxRemovals {
		l.forgottenUpTo = l.removals[0].Revision
		l.removals = slices.Clone(l.removals[1:])
	}
}

// DirectorySince returns the members that changed after a directory revision,
// or nil if there is no change. It returns the full directory if the revision is
// 0 or too old. The result is shared and must not be modified.
func (s *State) DirectorySince(revision uint64) *DirectoryUpdate {
	l := &s.directory
	if revision >= l.revision {
		return nil
	}
	if d := l.cache[revision]; d != nil {
		return d
	}
	d := &DirectoryUpdate{Revision: l.revision, Full: revision == 0 || revision < l.forgottenUpTo}
	for _, r := range s.members {
		if d.Full || r.Revision > revision {
			d.Members = append(d.Members, r.Member)
		}
	}
	slices.SortFunc(d.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if !d.Full {
		for _, r := range l.removals {
			if r.Revision > revision && s.members[r.ID] == nil {
				d.Removed = append(d.Removed, r.ID)
			}
		}
	}
	if l.cache == nil {
		l.cache = map[uint64]*DirectoryUpdate{}
	}
	if len(l.cache) < maxCachedDeltas {
		l.cache[revision] = d
	}
	return d
}

// DirectoryRevision returns the directory's revision. It rises with every command
// that changes a member.
func (s *State) DirectoryRevision() uint64 { return s.directory.revision }

// markChanged marks a member as changed by this command.
func (e *edit) markChanged(r *memberRecord) {
	r.Revision = e.s.directory.revision + 1
	e.directoryChanged = true
}

// removeMember removes a member from the directory and records the removal.
func (e *edit) removeMember(id table.MemberID) {
	delete(e.s.members, id)
	e.s.directory.addRemoval(id, e.s.directory.revision+1)
	e.directoryChanged = true
}
