package control

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
)

func documentCommand(t testing.TB, base uint64, id string, doc config.Document) Command {
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return Command{ApplyDocument: &ApplyDocument{Base: base, ChangeID: id, Author: "ann", Text: text}}
}

// Guards against operators who overwrite each other's changes, against retries that
// are applied twice, and against documents that would break the table.
func TestDocuments(t *testing.T) {
	resized, duplicate := testDocument(), testDocument()
	resized.Services[0].ShardCount = 32
	duplicate.Services[1].Name = "clubs"
	changed := testDocument()
	changed.Automation.Failover = false
	steps := []struct {
		name     string
		c        Command
		refusal  Refusal
		revision uint64
	}{
		{"first", documentCommand(t, 0, "c1", testDocument()), "", 1},
		{"resent", documentCommand(t, 0, "c1", testDocument()), "", 1},
		{"same id, other text", documentCommand(t, 1, "c1", changed), RefusedChangeIDReused, 1},
		{"old base", documentCommand(t, 0, "c2", changed), RefusedConflict, 1},
		{"future base", documentCommand(t, 7, "c3", changed), RefusedConflict, 1},
		{"resized", documentCommand(t, 1, "c4", resized), RefusedInvalid, 1},
		{"same name twice", documentCommand(t, 1, "c5", duplicate), RefusedInvalid, 1},
		{"no change id", documentCommand(t, 1, "", changed), RefusedInvalid, 1},
		{"not JSON", Command{ApplyDocument: &ApplyDocument{Base: 1, ChangeID: "c6", Author: "ann", Text: []byte("{")}}, RefusedInvalid, 1},
		{"second", documentCommand(t, 1, "c7", changed), "", 2},
		{"refusal resent", documentCommand(t, 0, "c2", changed), RefusedConflict, 1},
		{"first resent", documentCommand(t, 0, "c1", testDocument()), "", 1},
		{"empty", Command{}, RefusedInvalid, 2},
	}
	s := NewState()
	for i, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			res := s.Apply(uint64(i+1), step.c)
			is.Equal(res.Refusal, step.refusal)
			is.Equal(res.ConfigRevision, step.revision)
			if res.Refusal == RefusedConflict {
				is.Equal(res.ChangedBy, "ann")
				is.Equal(res.ChangeID, "c1")
			}
		})
	}
	is := is.New(t)
	is.Equal(s.Table().Revision(), uint64(1)) // only the first document changed the table
	is.Equal(s.Table().Len(), 80)
	history := s.DocumentHistory(10)
	is.Equal(len(history), 2)
	is.Equal(history[0].ChangeID, "c7")
	_, doc, _ := s.Document()
	is.True(!doc.Automation.Failover)
}

// Guards against unbounded memory: old changes, documents and incarnations must be
// dropped.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var l changeLog
	var h documentHistory
	var retired retiredSet
	for i := range maxChanges + 5 {
		l.add(changeRecord{ID: string(rune(i))})
		h.add(DocumentRevision{Revision: uint64(i)})
		retired.add(MemberIncarnation{"m", uint64(i)})
	}
	is.Equal(len(l.records), maxChanges)
	is.Equal(len(l.byID), maxChanges)
	is.Equal(len(h.list), maxDocuments)
	is.Equal(len(retired.known), maxRetired)
	is.True(!retired.has(MemberIncarnation{"m", 0}) && retired.has(MemberIncarnation{"m", maxChanges}))
}

// Guards against members that get new work during a drain, against drains that never
// complete or exceed the limit on moves, and against the end of a drain that moves
// more units than the balance needs.
func TestDrains(t *testing.T) {
	doc := testDocument()
	doc.DataCentres[0].Drained = true
	cases := []struct {
		name    string
		on, off func(f *fixture)
		members []table.MemberID
	}{
		{"target", setDrain(DrainTarget, "m1", true), setDrain(DrainTarget, "m1", false), []table.MemberID{"m1"}},
		{"instance", setDrain(DrainInstance, "p2", true), setDrain(DrainInstance, "p2", false), []table.MemberID{"p2"}},
		{"data centre", setDrain(DrainDataCentre, "a", true), setDrain(DrainDataCentre, "a", false), []table.MemberID{"m0", "m3", "p0"}},
		{"document", func(f *fixture) { f.applyDocument(doc) }, func(f *fixture) { f.applyDocument(testDocument()) }, []table.MemberID{"m0", "m3", "p0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			c.on(f)
			for _, id := range c.members {
				m, _ := f.state.Member(id)
				is.Equal(m.State, MemberDraining) // at once, for services without shards
			}
			for _, id := range []table.MemberID{"m0", "m1", "m2", "p0", "p1", "p2"} {
				if e := f.servedUnit(id); !slices.Contains(c.members, id) {
					move := BeginMove{Unit: e.Unit, Epoch: e.Epoch, To: c.members[0]}
					is.Equal(f.apply(Command{BeginMove: &move}).Refusal, RefusedInvalid)
				}
			}
			f.step()
			is.True(len(f.state.moving) < 16) // limited rate of moves
			f.run(10 * time.Second)
			for _, id := range c.members {
				is.True(f.replies[id].Draining)
				is.True(!f.state.needed(id))
				is.Equal(f.replies[id].MayStop, false) // it did not ask to leave
			}
			before := f.state.Table()
			c.off(f)
			f.run(60 * time.Second)
			moved := 0
			f.state.Table().Each(func(e *table.Entry) bool {
				if before.Entry(e.Unit).Owner != e.Owner {
					moved++
				}
				return true
			})
			for _, id := range c.members {
				is.True(len(f.state.unitsOf(id).owned) > 0)
			}
			is.True(moved <= 48) // two of four members with half of 64 units, one of three with a third of 16
			is.Equal(len(f.state.unowned), 0)
			snap, err := f.state.Snapshot()
			is.NoErr(err)
			back, err := Restore(snap)
			is.NoErr(err)
			is.True(reflect.DeepEqual(comparableState(back), comparableState(f.state))) // the indexes match the table
		})
	}
}

func setDrain(scope DrainScope, name string, on bool) func(f *fixture) {
	return func(f *fixture) {
		f.apply(Command{SetDrain: &SetDrain{Scope: scope, Name: name, On: on, Author: "ann"}})
	}
}

// Guards against a process that may stop while it owns units or has an in-sync copy,
// and against a process that is never allowed to stop.
func TestLeavingMemberMayStop(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.renewals["p1"].Leaving = true
	for i := 0; i < 200 && !f.replies["p1"].MayStop; i++ {
		f.step()
		is.True(!f.replies["p1"].MayStop || !f.state.needed("p1"))
	}
	is.True(f.replies["p1"].MayStop)
	delete(f.renewals, "p1")
	f.run(2 * time.Second)
	_, known := f.state.Member("p1")
	is.True(!known) // it left the directory without being declared lost
}

// Guards against automatic actions while all switches are off, against a failover
// that an operator cannot approve, and against a lease for a lost member.
func TestAutomationOff(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	doc := testDocument()
	doc.Automation.AllOff = true
	is.True(f.applyDocument(doc).Accepted())
	lost, kept := *f.renewals["m1"], len(f.state.unitsOf("m1").owned)
	delete(f.renewals, "m1")
	delete(f.renewals, "p1")
	f.run(3 * time.Second)
	m, _ := f.state.Member("m1")
	is.Equal(m.State, MemberLost)
	is.Equal(len(f.state.unitsOf("m1").owned), kept)
	for _, u := range sortedUnits(f.state.unitsOf("m1").owned) {
		is.Equal(f.entry(u).Phase, table.Unowned)
	}
	reply, _ := f.controller.Renew(at(f.now), f.state, lost)
	is.Equal(reply.Status, RenewalFenced)

	ids := map[string]bool{}
	for _, a := range f.state.Actions() {
		ids[a.ID] = true
	}
	is.True(ids["failover/m1/1"] && ids["failover/p1/1"] && ids["replicaReplacement/pay"])
	is.True(f.apply(Command{ApproveAction: &ApproveAction{ID: "failover/m1/1", ChangeID: "ok", Author: "ann"}}).Accepted())
	is.Equal(len(f.state.unitsOf("m1").owned), 0)
	is.Equal(f.servedUnits()["m0"]+f.servedUnits()["m2"]+f.servedUnits()["m3"], 64)

	returning := *f.renewals["p0"] // p1 returns and gets its own units back
	returning.ID, returning.Incarnation, returning.DataCentre, returning.TableRevision, returning.ConfigRevision = "p1", 2, "b", 0, 0
	f.renewals["p1"] = &returning
	held := len(f.state.unitsOf("p1").owned)
	f.run(time.Second)
	is.True(held > 0 && f.servedUnits()["p1"] == held)
	is.True(f.apply(Command{DismissAction: &DismissAction{ID: "replicaReplacement/pay", ChangeID: "no", Author: "ann"}}).Accepted())
	f.run(2 * time.Second)
	for _, a := range f.state.Actions() {
		is.True(a.ID != "replicaReplacement/pay" && a.ID != "failover/p1/1")
	}
	f.apply(Command{SetDrain: &SetDrain{Scope: DrainTarget, Name: "m0", On: true, Author: "ann"}})
	f.run(10 * time.Second)
	is.Equal(f.servedUnits()["m0"], 0) // drains work without automation
	is.True(f.applyDocument(testDocument()).Accepted())
	f.run(time.Second)
	is.Equal(len(f.state.Actions()), 0) // no action is pending once the switches are on
}
