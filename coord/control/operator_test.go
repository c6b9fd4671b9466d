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

func apply(t testing.TB, base uint64, id string, doc config.Document) Command {
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return Command{ApplyDocument: &ApplyDocument{Base: base, ChangeID: id, Author: "ann", Text: text}}
}

// Guards against two operators who overwrite each other, against a resend that
// applies twice, and against documents that would break the table.
func TestDocuments(t *testing.T) {
	resized, twice := testDocument(), testDocument()
	resized.Services[0].ShardCount = 32
	twice.Services[1].Name = "clubs"
	changed := testDocument()
	changed.Automation.Failover = false
	steps := []struct {
		name     string
		c        Command
		refusal  Refusal
		revision uint64
	}{
		{"first", apply(t, 0, "c1", testDocument()), "", 1},
		{"resent", apply(t, 0, "c1", testDocument()), "", 1},
		{"same id, other text", apply(t, 1, "c1", changed), RefusedChangeIDReused, 1},
		{"old base", apply(t, 0, "c2", changed), RefusedConflict, 1},
		{"future base", apply(t, 7, "c3", changed), RefusedConflict, 1},
		{"resized", apply(t, 1, "c4", resized), RefusedInvalid, 1},
		{"same name twice", apply(t, 1, "c5", twice), RefusedInvalid, 1},
		{"no change id", apply(t, 1, "", changed), RefusedInvalid, 1},
		{"not JSON", Command{ApplyDocument: &ApplyDocument{Base: 1, ChangeID: "c6", Author: "ann", Text: []byte("{")}}, RefusedInvalid, 1},
		{"second", apply(t, 1, "c7", changed), "", 2},
		{"refusal resent", apply(t, 0, "c2", changed), RefusedConflict, 1},
		{"first resent", apply(t, 0, "c1", testDocument()), "", 1},
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

// Guards against memory without bound: old changes, documents and incarnations
// are forgotten.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var l changeLog
	var h documentHistory
	var r retiredSet
	for i := range changeMemory + 5 {
		l.add(changeRecord{ID: string(rune(i))})
		h.add(DocumentRevision{Revision: uint64(i)})
		r.add(MemberIncarnation{"m", uint64(i)})
	}
	is.Equal(len(l.records), changeMemory)
	is.Equal(len(l.byID), changeMemory)
	is.Equal(len(h.list), documentMemory)
	is.Equal(len(r.known), retiredMemory)
	is.True(!r.has(MemberIncarnation{"m", 0}) && r.has(MemberIncarnation{"m", changeMemory}))
}

// Guards against members that get new work while a drain covers them, against
// a drain that never ends or is not paced, and against a return that moves more
// than balance needs.
func TestDrains(t *testing.T) {
	doc := testDocument()
	doc.DataCentres[0].Drained = true
	cases := []struct {
		name    string
		on, off func(r *rig)
		members []table.MemberID
	}{
		{"target", setDrain(DrainTarget, "m1", true), setDrain(DrainTarget, "m1", false), []table.MemberID{"m1"}},
		{"instance", setDrain(DrainInstance, "p2", true), setDrain(DrainInstance, "p2", false), []table.MemberID{"p2"}},
		{"data centre", setDrain(DrainDataCentre, "a", true), setDrain(DrainDataCentre, "a", false), []table.MemberID{"m0", "m3", "p0"}},
		{"document", func(r *rig) { r.document(doc) }, func(r *rig) { r.document(testDocument()) }, []table.MemberID{"m0", "m3", "p0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := cluster(t)
			c.on(r)
			for _, id := range c.members {
				m, _ := r.s.Member(id)
				is.Equal(m.State, MemberDraining) // at once, for services without shards
			}
			for _, id := range []table.MemberID{"m0", "m1", "m2", "p0", "p1", "p2"} {
				if e := r.unitOf(id); !slices.Contains(c.members, id) {
					move := BeginMove{Unit: e.Unit, Epoch: e.Epoch, To: c.members[0]}
					is.Equal(r.apply(Command{BeginMove: &move}).Refusal, RefusedInvalid)
				}
			}
			r.step()
			is.True(len(r.s.moving) < 16) // paced
			r.run(10 * time.Second)
			for _, id := range c.members {
				is.True(r.replies[id].Draining)
				is.True(!r.s.needed(id))
				is.Equal(r.replies[id].MayStop, false) // it did not ask to leave
			}
			before := r.s.Table()
			c.off(r)
			r.run(60 * time.Second)
			moved := 0
			r.s.Table().Each(func(e *table.Entry) bool {
				if before.Entry(e.Unit).Owner != e.Owner {
					moved++
				}
				return true
			})
			for _, id := range c.members {
				is.True(len(r.s.held(id).owned) > 0)
			}
			is.True(moved <= 48) // two of four members with half of 64 units, one of three with a third of 16
			is.Equal(len(r.s.unowned), 0)
			snap, err := r.s.Snapshot()
			is.NoErr(err)
			back, err := Restore(snap)
			is.NoErr(err)
			is.True(reflect.DeepEqual(essence(back), essence(r.s))) // indexes as derived from the table
		})
	}
}

func setDrain(scope DrainScope, name string, on bool) func(r *rig) {
	return func(r *rig) { r.apply(Command{SetDrain: &SetDrain{Scope: scope, Name: name, On: on, Author: "ann"}}) }
}

// Guards against a process that stops while it owns units or holds a copy that
// is needed, and against one that never may.
func TestLeavingMemberMayStop(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	r.renew["p1"].Leaving = true
	for i := 0; i < 200 && !r.replies["p1"].MayStop; i++ {
		r.step()
		is.True(!r.replies["p1"].MayStop || !r.s.needed("p1"))
	}
	is.True(r.replies["p1"].MayStop)
	delete(r.renew, "p1")
	r.run(2 * time.Second)
	_, known := r.s.Member("p1")
	is.True(!known) // it left the directory without being declared lost
}

// Guards against a switch that does not stop its action, against a failover
// that an operator cannot start, and against a lost member that gets a lease.
func TestHolidaySwitch(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	doc := testDocument()
	doc.Automation.AllOff = true
	is.True(r.document(doc).Accepted())
	lost, kept := *r.renew["m1"], len(r.s.held("m1").owned)
	delete(r.renew, "m1")
	delete(r.renew, "p1")
	r.run(3 * time.Second)
	m, _ := r.s.Member("m1")
	is.Equal(m.State, MemberLost)
	is.Equal(len(r.s.held("m1").owned), kept)
	for _, u := range sortedUnits(r.s.held("m1").owned) {
		is.Equal(r.entry(u).Phase, table.Unowned)
	}
	reply, _ := r.c.Renew(at(r.now), r.s, lost)
	is.Equal(reply.Status, RenewalFenced)

	ids := map[string]bool{}
	for _, a := range r.s.Actions() {
		ids[a.ID] = true
	}
	is.True(ids["failover/m1/1"] && ids["failover/p1/1"] && ids["replicaReplacement/pay"])
	is.True(r.apply(Command{ApproveAction: &ApproveAction{ID: "failover/m1/1", ChangeID: "ok", Author: "ann"}}).Accepted())
	is.Equal(len(r.s.held("m1").owned), 0)
	is.Equal(r.ownedBy()["m0"]+r.ownedBy()["m2"]+r.ownedBy()["m3"], 64)

	again := *r.renew["p0"] // p1 returns and gets its own units back
	again.ID, again.Incarnation, again.DataCentre, again.TableRevision, again.ConfigRevision = "p1", 2, "b", 0, 0
	r.renew["p1"] = &again
	held := len(r.s.held("p1").owned)
	r.run(time.Second)
	is.True(held > 0 && r.ownedBy()["p1"] == held)
	is.True(r.apply(Command{DismissAction: &DismissAction{ID: "replicaReplacement/pay", ChangeID: "no", Author: "ann"}}).Accepted())
	r.run(2 * time.Second)
	for _, a := range r.s.Actions() {
		is.True(a.ID != "replicaReplacement/pay" && a.ID != "failover/p1/1")
	}
	r.apply(Command{SetDrain: &SetDrain{Scope: DrainTarget, Name: "m0", On: true, Author: "ann"}})
	r.run(10 * time.Second)
	is.Equal(r.ownedBy()["m0"], 0) // drains stay in force
	is.True(r.document(testDocument()).Accepted())
	r.run(time.Second)
	is.Equal(len(r.s.Actions()), 0) // nothing waits once the switches are on
}
