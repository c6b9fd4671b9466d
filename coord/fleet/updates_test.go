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

// Guards against a process that applies partial updates of a key space and ends
// with other ranges than the control group.
func TestKeyspaceUpdates(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	applied, keyspace := uint64(0), fleet.Keyspace{}
	partial := 0
	for step := range 60 {
		sim.run(300 * time.Millisecond)
		switch step {
		case 20:
			sim.addMember("c")
		case 40:
			delete(sim.renewals, "b")
		}
		for p, r := range sim.renewals {
			r.Released = nil
			for _, keyRange := range sim.state.Keyspace("s").Ranges {
				if keyRange.Releasing && keyRange.Holder.Process == p {
					r.Released = append(r.Released, fleet.ReleasedRange{Range: keyRange, HandoverToken: "h"})
				}
			}
			sim.renewals[p] = r
		}
		if u, ok := sim.state.KeyspacesSince(applied)["s"]; ok {
			next, ok := u.Apply(keyspace)
			is.True(ok)
			if u.BaseRevision != 0 {
				partial++
			}
			keyspace, applied = next, sim.state.Revisions().Ranges
		}
		is.True(slices.Equal(keyspace.Ranges, sim.state.Keyspace("s").Ranges) || keyspace.Revision == 0)
	}
	is.True(partial > 2)
}

// Guards against a process that keeps a removed member in its directory, or
// misses one that was added between two renewals.
func TestDirectoryChanges(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.run(3 * time.Second)
	revisions := sim.leader.Renew(clock.At(sim.now), sim.state, sim.renewals["a"]).Revisions
	sim.addMember("b")
	sim.run(200 * time.Millisecond)
	sim.addMember("c")
	delete(sim.renewals, "b")
	sim.run(4 * time.Second)
	r := sim.renewals["a"]
	r.Revisions = revisions
	u := sim.leader.Renew(clock.At(sim.now), sim.state, r).Members
	is.True(!u.Full)
	is.Equal(u.Removed, []string{"b"})
	is.Equal(len(u.Members), 1)
	is.Equal(u.Members[0].Process, "c")
}

// Guards against a patch that is computed anew for each member of a large
// cluster, and against a cached patch to an earlier document.
func TestDocumentPatchIsCachedAndCurrent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	apply := func(version uint64) {
		r := sim.apply(fleet.Command{ApplyDocument: &fleet.ApplyDocument{
			ChangeID: fmt.Sprint(version), BaseVersion: version - 1,
			Document: &routes.Document{Version: version, Services: []routes.Service{{Name: "s", Sharded: true}}},
		}})
		is.Equal(r.Status, fleet.Accepted)
	}
	first := sim.state.Revisions().Document
	before, _ := sim.state.Document()
	apply(2)
	patch, _ := sim.state.DocumentSince(first)
	cached, _ := sim.state.DocumentSince(first)
	is.True(patch != nil)
	is.True(patch == cached)
	apply(3)
	patch, _ = sim.state.DocumentSince(first)
	is.True(patch != cached)
	after, ok := patch.Apply(before)
	is.True(ok)
	is.Equal(after.Version, uint64(3))
}

// Guards against retained documents that take memory in proportion to the size of a
// document, and against members that need the whole document after each change of a large
// one.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	st := fleet.NewState()
	for version := range uint64(10) {
		d := &routes.Document{Version: version + 1, Services: []routes.Service{{Name: "s"}}}
		data, err := fleet.EncodeCommand(fleet.Command{ApplyDocument: &fleet.ApplyDocument{
			ChangeID: fmt.Sprint(version), BaseVersion: version, Document: d, Text: make([]byte, 3<<20)}})
		is.NoErr(err)
		result, err := st.Apply(version+1, data)
		is.NoErr(err)
		is.Equal(result.Status, fleet.Accepted)
	}
	patch, whole := st.DocumentSince(9)
	is.True(patch != nil && whole == nil)
	patch, whole = st.DocumentSince(8)
	is.True(patch == nil && whole != nil)
}
