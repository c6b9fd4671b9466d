package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/routes"
)

// Guards against a process that follows differences and ends with another
// table than the control group.
func TestFollowerOfUpdates(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.join("b")
	known, space := uint64(0), fleet.Keyspace{}
	partial := 0
	for step := range 60 {
		w.run(300 * time.Millisecond)
		switch step {
		case 20:
			w.join("c")
		case 40:
			delete(w.members, "b")
		}
		for p, r := range w.members {
			r.Released = nil
			for _, row := range w.state.Keyspace("s").Ranges {
				if row.Releasing && row.Holder.Process == p {
					r.Released = append(r.Released, fleet.ReleasedRange{Row: row, HandoverToken: "h"})
				}
			}
			w.members[p] = r
		}
		if u, ok := w.state.KeyspacesSince(known)["s"]; ok {
			next, ok := u.Apply(space)
			is.True(ok)
			if u.BaseRevision != 0 {
				partial++
			}
			space, known = next, w.state.Revisions().Ranges
		}
		is.True(slices.Equal(space.Ranges, w.state.Keyspace("s").Ranges) || space.Revision == 0)
	}
	is.True(partial > 2)
}

// Guards against a process that keeps a member that left, or that never
// learns of one that joined between two renewals.
func TestDirectoryChanges(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.join("a")
	w.run(3 * time.Second)
	known := w.lead.Renew(clock.At(w.now), w.state, w.members["a"]).Revisions
	w.join("b")
	w.run(200 * time.Millisecond)
	w.join("c")
	delete(w.members, "b")
	w.run(4 * time.Second)
	r := w.members["a"]
	r.Revisions = known
	u := w.lead.Renew(clock.At(w.now), w.state, r).Members
	is.True(!u.Full)
	is.Equal(u.Removed, []string{"b"})
	is.Equal(len(u.Members), 1)
	is.Equal(u.Members[0].Process, "c")
}

// Guards against a difference that is worked out for every member of a large
// cluster, and against one that leads to an earlier document.
func TestDocumentDifferenceIsSharedAndCurrent(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	apply := func(version uint64) {
		r := w.apply(fleet.Command{ApplyDocument: &fleet.ApplyDocument{
			ChangeID: fmt.Sprint(version), BaseVersion: version - 1,
			Document: &routes.Document{Version: version, Services: []routes.Service{{Name: "s", Sharded: true}}},
		}})
		is.Equal(r.Status, fleet.Accepted)
	}
	first := w.state.Revisions().Document
	before, _ := w.state.Document()
	apply(2)
	patch, _ := w.state.DocumentSince(first)
	again, _ := w.state.DocumentSince(first)
	is.True(patch != nil)
	is.True(patch == again)
	apply(3)
	patch, _ = w.state.DocumentSince(first)
	is.True(patch != again)
	after, ok := patch.Apply(before)
	is.True(ok)
	is.Equal(after.Version, uint64(3))
}
