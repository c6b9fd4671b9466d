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
	Revisions fleet.Revisions
	// Routes is nil before the first document.
	Routes    *routes.Table
	Drained   []string
	Keyspaces map[string]fleet.Keyspace
	Members   []fleet.Member
}

// Owner returns who holds a key of a sharded service and the row's fence.
func (v *View) Owner(service string, key uint16) (ranges.Range, bool) {
	r, ok := ranges.Find(v.Keyspaces[service].Ranges, key)
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
func (v *View) with(r fleet.RenewalReply) *View {
	next := *v
	next.Revisions = r.Revisions
	if r.Document != nil {
		next.Routes = routes.NewTable(r.Document)
	}
	if r.Patch != nil {
		if d, ok := r.Patch.Apply(v.document()); ok {
			next.Routes = routes.NewTable(d)
		} else {
			next.Revisions.Document = 0
		}
	}
	if r.Drained != nil {
		next.Drained = *r.Drained
	}
	if r.Keyspaces != nil {
		next.applySpaces(r.Keyspaces)
	}
	if r.Members != nil {
		next.Members = updated(v.Members, r.Members)
		if r.Members.Full && !r.MembersComplete {
			next.Members = merge(r.Members.Members, v.Members)
			// The list is not complete yet: ask for it again.
			next.Revisions.Term = 0
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

func (v *View) applySpaces(updates map[string]fleet.KeyspaceUpdate) {
	v.Keyspaces = maps.Clone(v.Keyspaces)
	if v.Keyspaces == nil {
		v.Keyspaces = map[string]fleet.Keyspace{}
	}
	for service, u := range updates {
		space, ok := u.Apply(v.Keyspaces[service])
		if !ok {
			v.Revisions.Ranges = 0
			continue
		}
		v.Keyspaces[service] = space
	}
}

// updated returns the members after an update.
func updated(members []fleet.Member, u *fleet.MembersUpdate) []fleet.Member {
	if u.Full {
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
