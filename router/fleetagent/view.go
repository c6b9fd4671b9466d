// Package fleetagent keeps a process in touch with the control group: it
// renews the lease of the target beside the process, holds the newest
// document, table and directory, and answers the target's announcements.
package fleetagent

import (
	"maps"
	"slices"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

// View is what a process knows of the cluster. It is immutable.
type View struct {
	Known fleet.Revisions
	// Routes is nil before the first document.
	Routes  *routes.Table
	Drained []string
	Spaces  map[string]fleet.Space
	Members []fleet.Member
}

// Owner returns who holds a key of a sharded service and the row's fence.
func (v *View) Owner(service string, key uint16) (ranges.Row, bool) {
	r, ok := ranges.Find(v.Spaces[service].Rows, key)
	return r, ok && !r.Holder.IsZero()
}

// IsDrained reports whether a data centre is drained.
func (v *View) IsDrained(dataCentre string) bool { return slices.Contains(v.Drained, dataCentre) }

// Version returns the document's version; 0 before the first.
func (v *View) Version() uint64 {
	if v.Routes == nil {
		return 0
	}
	return v.Routes.Document().Version
}

// with returns the view after a reply. Replies of one leader come in order. A
// part that does not fit is asked for whole at the next renewal.
func (v *View) with(r fleet.Reply) *View {
	next := *v
	next.Known = r.Known
	if r.Document != nil {
		next.Routes = routes.NewTable(r.Document)
	}
	if r.Patch != nil {
		if d, ok := r.Patch.Apply(v.document()); ok {
			next.Routes = routes.NewTable(d)
		} else {
			next.Known.Document = 0
		}
	}
	if r.Drained != nil {
		next.Drained = *r.Drained
	}
	if r.Spaces != nil {
		next.applySpaces(r.Spaces)
	}
	if r.Members != nil {
		next.Members = updated(v.Members, r.Members)
		if r.Members.Whole && !r.Settled {
			next.Members = merge(r.Members.Members, v.Members)
			// The list is not complete yet: ask for it again.
			next.Known.Term = 0
		}
	}
	return &next
}

func (v *View) document() *routes.Document {
	if v.Routes == nil {
		return nil
	}
	return v.Routes.Document()
}

func (v *View) applySpaces(updates map[string]fleet.SpaceUpdate) {
	v.Spaces = maps.Clone(v.Spaces)
	if v.Spaces == nil {
		v.Spaces = map[string]fleet.Space{}
	}
	for service, u := range updates {
		space, ok := u.Apply(v.Spaces[service])
		if !ok {
			v.Known.Rows = 0
			continue
		}
		v.Spaces[service] = space
	}
}

// updated returns the members after an update.
func updated(members []fleet.Member, u *fleet.MembersUpdate) []fleet.Member {
	if u.Whole {
		return u.Members
	}
	var out []fleet.Member
	for _, m := range members {
		changed := slices.ContainsFunc(u.Members, func(n fleet.Member) bool { return n.Process == m.Process })
		if !changed && !slices.Contains(u.Removed, m.Process) {
			out = append(out, m)
		}
	}
	return append(out, u.Members...)
}

// merge adds the members of an earlier list that a new leader may not have
// heard from yet.
func merge(list, earlier []fleet.Member) []fleet.Member {
	out := slices.Clone(list)
	for _, m := range earlier {
		if !slices.ContainsFunc(list, func(n fleet.Member) bool { return n.Process == m.Process }) {
			out = append(out, m)
		}
	}
	return out
}
