// Package fleetagent keeps a process in touch with the control group: it
// renews the lease of the target beside the process, holds the newest
// document, table and directory, and answers the target's announcements.
package fleetagent

import (
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

// with returns the view after a reply. Replies of one leader come in order.
func (v *View) with(r fleet.Reply) *View {
	next := *v
	next.Known = r.Known
	if r.Document != nil {
		next.Routes = routes.NewTable(r.Document)
	}
	if r.Drained != nil {
		next.Drained = *r.Drained
	}
	if r.Spaces != nil {
		next.Spaces = r.Spaces
	}
	if r.Members != nil {
		next.Members = *r.Members
		if !r.Settled {
			next.Members = merge(*r.Members, v.Members)
			// The complete list may have the same number: ask for it again.
			next.Known.Term = 0
		}
	}
	return &next
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
