// Package fleetagent registers a process with the control group in fleet mode
// (routing document and key ranges). For the target of a sidecar process it
// renews the lease and answers the target's announcements with grants. It also
// keeps the newest document, key ranges and directory for the process.
package fleetagent

import (
	"maps"
	"slices"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/timesource"
)

// View is the cluster state that a process has applied. It is immutable.
type View struct {
	Revisions fleet.Revisions
	// Routes is nil before the first document.
	Routes    *routes.Table
	Drained   []string
	Keyspaces map[string]fleet.Keyspace
	Members   []fleet.Member
	// quarantine has the requests to watch or refuse because they end targets.
	quarantine map[quarantine.Fingerprint]quarantineEntry
}

// Owner returns the range that contains a key of a sharded service, with its
// holder and fence, and whether the range has a holder.
func (v *View) Owner(service string, key uint16) (ranges.Range, bool) {
	r, ok := ranges.Find(v.Keyspaces[service].Ranges, key)
	return r, ok && !r.Holder.IsZero()
}

// IsDrained reports whether a data centre is drained.
func (v *View) IsDrained(dataCentre string) bool { return slices.Contains(v.Drained, dataCentre) }

// Version returns the document's version, or 0 before the first document.
func (v *View) Version() uint64 {
	if v.Routes == nil {
		return 0
	}
	return v.Routes.Document().Version
}

// apply returns the view after a reply. The replies of one leader arrive in
// order. If a patch or an update does not apply to this view, its revision is
// set to 0, so that the next renewal requests the complete data.
func (v *View) apply(reply fleet.RenewalReply) *View {
	next := *v
	next.Revisions = reply.Revisions
	if reply.Document != nil {
		next.Routes = routes.NewTable(reply.Document)
	}
	if reply.Patch != nil {
		if d, ok := reply.Patch.Apply(v.document()); ok {
			next.Routes = routes.NewTable(d)
		} else {
			next.Revisions.Document = 0
		}
	}
	if reply.Drained != nil {
		next.Drained = *reply.Drained
	}
	if reply.Keyspaces != nil {
		next.applyKeyspaces(reply.Keyspaces)
	}
	if reply.Quarantine != nil {
		next.quarantine = v.applyQuarantine(timesource.BootTime().Mono, &reply)
	}
	if reply.Members != nil {
		next.Members = applyMembersUpdate(v.Members, reply.Members)
		if reply.Members.Full && !reply.MembersComplete {
			next.Members = mergeMembers(reply.Members.Members, v.Members)
			// A new leader has not heard from all members yet. Term 0 makes the
			// next renewal request the list again.
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

// applyKeyspaces applies updates of key spaces by service.
func (v *View) applyKeyspaces(updates map[string]fleet.KeyspaceUpdate) {
	v.Keyspaces = maps.Clone(v.Keyspaces)
	if v.Keyspaces == nil {
		v.Keyspaces = map[string]fleet.Keyspace{}
	}
	for service, update := range updates {
		space, ok := update.Apply(v.Keyspaces[service])
		if !ok {
			v.Revisions.Ranges = 0
			continue
		}
		v.Keyspaces[service] = space
	}
}

// applyMembersUpdate returns the members after an update.
func applyMembersUpdate(members []fleet.Member, update *fleet.MembersUpdate) []fleet.Member {
	if update.Full {
		return update.Members
	}
	var list []fleet.Member
	for _, m := range members {
		changed := slices.ContainsFunc(update.Members, func(n fleet.Member) bool { return n.Process == m.Process })
		if !changed && !slices.Contains(update.Removed, m.Process) {
			list = append(list, m)
		}
	}
	return append(list, update.Members...)
}

// mergeMembers returns list and those members of an earlier list that are
// missing in it, because a new leader may not have heard from them yet.
func mergeMembers(list, earlier []fleet.Member) []fleet.Member {
	merged := slices.Clone(list)
	for _, m := range earlier {
		if !slices.ContainsFunc(list, func(n fleet.Member) bool { return n.Process == m.Process }) {
			merged = append(merged, m)
		}
	}
	return merged
}
