package control

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

func at(d time.Duration) clock.Reading { return clock.At(d) }

// drawCommand returns a random command with valid and invalid values for a state.
func drawCommand(t *rapid.T, s *State) Command {
	id := rapid.SampledFrom([]table.MemberID{"", "m0", "m1", "p0", "p1", "nobody"})
	epoch := rapid.Uint64Range(0, 6)
	unit := rapid.Custom(func(t *rapid.T) shard.Unit {
		u := shard.Unit{Keyspace: rapid.SampledFrom([]string{"clubs", "pay", "none"}).Draw(t, "service"), Shard: rapid.SampledFrom([]uint32{0, 0, 0, 1, 70}).Draw(t, "shard")}
		if rapid.IntRange(0, 3).Draw(t, "split") == 0 {
			u.KeyHash = shard.Hash("hot")
		}
		return u
	})
	member := MemberIncarnation{id.Draw(t, "id"), rapid.Uint64Range(0, 3).Draw(t, "incarnation")}
	u, e, to := unit.Draw(t, "unit"), epoch.Draw(t, "epoch"), id.Draw(t, "to")
	if known := s.Table().Entry(u); known != nil && rapid.IntRange(0, 3).Draw(t, "right") > 0 {
		e = known.Epoch
	}
	doc := testDocument()
	doc.Services = doc.Services[e%3:]
	revision, _, _ := s.Document()
	known := Member{ID: member.ID, Incarnation: member.Incarnation, DataCentre: "a", Target: &Target{Service: "clubs"}}
	move := Command{BeginMove: &BeginMove{Unit: u, Epoch: e, To: to}}
	return rapid.SampledFrom([]Command{
		move,
		documentCommand(nil, revision, fmt.Sprint("d", revision), doc),
		{RegisterMember: &RegisterMember{Member: known}},
		{DeclareMembersLost: &DeclareMembersLost{Members: []MemberIncarnation{member}, Assignments: []Assignment{{Unit: u, To: to}}, KeepUnits: e%2 == 0}},
		{Assign: &Assign{Assignments: []Assignment{{Unit: u, Epoch: e, To: to, Join: []table.MemberID{member.ID}}}}},
		{FinishMove: &FinishMove{Unit: u, Epoch: e}},
		{CancelMove: &CancelMove{Unit: u, Epoch: e}},
		{CopySynced: &CopySynced{Unit: u, Epoch: e, Copy: to}},
		{ChangeCopies: &ChangeCopies{Unit: u, Epoch: e, Drop: []table.MemberID{to}, Join: []table.MemberID{member.ID}}},
		{SplitKey: &SplitKey{Keyspace: u.Keyspace, Hash: u.KeyHash}},
		{MergeKey: &MergeKey{Unit: u}},
		{SetDrain: &SetDrain{Scope: DrainInstance, Name: string(to), On: e%2 == 0}},
		{SetMemberState: &SetMemberState{ID: member.ID, Incarnation: member.Incarnation, State: MemberDraining, Leaving: e%2 == 0}},
		{RemoveMember: &RemoveMember{ID: member.ID, Incarnation: member.Incarnation}},
		{ProposeAction: &ProposeAction{Action: ProposedAction{ID: "x", Commands: []Command{move}}}},
		{ApproveAction: &ApproveAction{ID: "x", ChangeID: fmt.Sprint(e)}},
		{DismissAction: &DismissAction{ID: "x"}},
		{ClearRecordsLost: &ClearRecordsLost{Unit: u}},
		{ClearBarrier: &ClearBarrier{Name: u.Keyspace, Revision: e}},
	}).Draw(t, "command")
}

// Guards against a panic of Apply on any input, fields that the encoding loses,
// replicas that differ after a snapshot, indexes that differ from the table, refused
// commands that change the table, and deltas that lead to a different table.
func TestApplyAcceptsAnyCommand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, replica := NewState(), NewState()
		tables := []*table.Table{s.Table()}
		steps := rapid.IntRange(0, 60).Draw(t, "steps")
		for i := range steps + len(setupCommands) {
			c := Command{}
			if i < len(setupCommands) {
				c = setupCommands[i]
			} else {
				c = drawCommand(t, s)
			}
			data, err := EncodeCommand(c)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeCommand(data)
			if err != nil || !reflect.DeepEqual(decoded, c) {
				t.Fatalf("%+v became %+v: %v", c, decoded, err)
			}
			if c.String() == "" || (i >= len(setupCommands) && c.String() == Command{}.String()) {
				t.Fatalf("%+v has no description", c)
			}
			before := s.Table().Revision()
			res := s.Apply(uint64(i), c)
			if got := replica.Apply(uint64(i), decoded); got != res {
				t.Fatalf("results differ: %+v %+v", res, got)
			}
			if after := s.Table().Revision(); after > before+1 || (!res.Accepted() && after != before) {
				t.Fatalf("%+v: table went from %d to %d, result %+v", c, before, after, res)
			}
			tables = append(tables, s.Table())
		}
		a, _ := s.Snapshot()
		restored, err := Restore(a)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := restored.Snapshot()
		r, _ := replica.Snapshot()
		if !bytes.Equal(a, b) || !bytes.Equal(a, r) {
			t.Fatal("snapshots differ")
		}
		if x, y := comparableState(restored), comparableState(s); !reflect.DeepEqual(x, y) {
			t.Fatalf("the restored state differs:\n%+v\n%+v", x, y)
		}
		checkDeltas(t, s, tables)
	})
}

// setupCommands creates a cluster in which most commands can succeed.
var setupCommands = func() []Command {
	out := []Command{documentCommand(nil, 0, "c", testDocument())}
	for i, id := range []table.MemberID{"m0", "m1", "p0", "p1"} {
		service := []string{"clubs", "pay"}[i/2]
		m := Member{ID: id, Incarnation: 1, DataCentre: []string{"a", "b"}[i%2], Target: &Target{Service: service}}
		out = append(out, Command{RegisterMember: &RegisterMember{Member: m}})
	}
	for _, name := range []string{"clubs", "pay"} {
		out = append(out, Command{ClearBarrier: &ClearBarrier{Name: name, Revision: 1}})
	}
	return out
}()

// comparableState returns the fields of a state that affect later commands, except
// the table and the document history, which the snapshots cover.
func comparableState(s *State) []any {
	return []any{
		s.index, s.doc, s.keyspaces, s.members, s.directory.revision, s.directory.removals, s.retired.known, s.drains,
		s.actions, s.changes.byID, s.epochFloor, s.barriers, s.recordsLost, s.unitsByMember, s.unowned, s.moving,
	}
}

// checkDeltas checks that the delta from every earlier table leads to the current one.
func checkDeltas(t *rapid.T, s *State, tables []*table.Table) {
	want := s.Table().Snapshot()
	for _, old := range tables {
		got := old
		if d := s.TableDelta(old.Revision()); d != nil {
			next, err := old.Apply(*d)
			if err != nil {
				t.Fatal(err)
			}
			got = next
		}
		if !reflect.DeepEqual(got.Snapshot(), want) {
			t.Fatalf("the delta from revision %d leads to a different table", old.Revision())
		}
	}
}

// Guards against a panic on a damaged log entry or snapshot: an error is returned.
func TestDamagedInput(t *testing.T) {
	is := is.New(t)
	_, err := DecodeCommand([]byte{0xff, 1, 2})
	is.True(err != nil)
	_, err = Restore([]byte("junk"))
	is.True(err != nil)
	_, err = Restore(nil)
	is.True(err != nil)
}
