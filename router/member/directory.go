package member

import (
	"cmp"
	"maps"
	"slices"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/table"
)

// Directory lists the registered members. It is immutable.
type Directory struct {
	Revision uint64
	members  map[table.MemberID]control.Member
	services map[string][]control.Member
}

func emptyDirectory() *Directory {
	return &Directory{members: map[table.MemberID]control.Member{}, services: map[string][]control.Member{}}
}

// NewDirectory returns the directory of a full update. Its revision must not
// be 0, because an update with revision 0 is ignored.
func NewDirectory(update control.DirectoryUpdate) *Directory { return emptyDirectory().apply(&update) }

// Member returns a registered member, and false if id is not registered.
func (d *Directory) Member(id table.MemberID) (control.Member, bool) {
	m, ok := d.members[id]
	return m, ok
}

// Service returns the members with a target of a service, sorted by id.
// Callers must not change the slice.
func (d *Directory) Service(name string) []control.Member { return d.services[name] }

// Members returns all members, sorted by id.
func (d *Directory) Members() []control.Member {
	return slices.SortedFunc(maps.Values(d.members), compareMembers)
}

// apply returns the directory after an update. Updates that are not newer are
// ignored, so that the revision never decreases.
func (d *Directory) apply(update *control.DirectoryUpdate) *Directory {
	if update == nil || update.Revision <= d.Revision {
		return d
	}
	next := &Directory{Revision: update.Revision, members: map[table.MemberID]control.Member{}, services: map[string][]control.Member{}}
	if !update.Full {
		maps.Copy(next.members, d.members)
	}
	for _, m := range update.Members {
		next.members[m.ID] = m
	}
	for _, id := range update.Removed {
		delete(next.members, id)
	}
	for _, m := range next.members {
		if m.Target != nil {
			next.services[m.Target.Service] = append(next.services[m.Target.Service], m)
		}
	}
	for _, list := range next.services {
		slices.SortFunc(list, compareMembers)
	}
	return next
}

func compareMembers(a, b control.Member) int { return cmp.Compare(a.ID, b.ID) }
