package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"bramleyquay.example/coord/raft"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// step is one call of the store: a Save, or a SaveSnapshot if snapshot is set.
type step struct {
	hard     *raft.HardState
	entries  []raft.Entry
	snapshot *raft.Snapshot
}

func (st step) run(s *Store) error {
	if st.snapshot != nil {
		return s.SaveSnapshot(*st.snapshot)
	}
	return s.Save(st.hard, st.entries)
}

// applyTo returns the state that is stored after the step.
func (st step) applyTo(m raft.PersistentState) raft.PersistentState {
	next := raft.PersistentState{HardState: m.HardState, Snapshot: m.Snapshot}
	if s := st.snapshot; s != nil {
		next.Snapshot = *s
		for i, e := range m.Entries {
			if e.Index == s.Index && e.Term == s.Term {
				next.Entries = m.Entries[i+1:]
			}
		}
		if c := next.HardState.Commit; c < s.Index || c > s.Index+uint64(len(next.Entries)) {
			next.HardState.Commit = s.Index
		}
		return next
	}
	if st.hard != nil {
		next.HardState = *st.hard
	}
	for _, e := range m.Entries {
		if len(st.entries) == 0 || e.Index < st.entries[0].Index {
			next.Entries = append(next.Entries, e)
		}
	}
	next.Entries = append(next.Entries, st.entries...)
	return next
}

// entries returns the entries from..to of a term. Their data differs by term.
func entries(term, from, to uint64) []raft.Entry {
	var es []raft.Entry
	for i := from; i <= to; i++ {
		es = append(es, raft.Entry{Term: term, Index: i, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "%d/%d", term, i)})
	}
	return es
}

func hard(term, commit uint64) *raft.HardState {
	return &raft.HardState{Term: term, Vote: "n2", Commit: commit}
}

func snapshot(index, term uint64) *raft.Snapshot {
	return &raft.Snapshot{Index: index, Term: term, Membership: raft.Membership{Voters: []raft.ID{"n1", "n2"}}, Data: []byte("state")}
}

// workload covers a bootstrap, appends, an overwritten suffix, and appends after a
// snapshot of the replica's own state, one from a leader far ahead and one of
// another history.
var workload = []step{
	{snapshot: snapshot(1, 1)},
	{hard: hard(1, 1)},
	{hard: hard(2, 1), entries: entries(2, 2, 6)},
	{entries: entries(2, 7, 8)},
	{hard: hard(3, 3), entries: entries(3, 5, 6)},
	{snapshot: snapshot(4, 2)},
	{hard: hard(3, 6), entries: entries(3, 7, 7)},
	{snapshot: snapshot(20, 4)},
	{hard: hard(4, 20), entries: entries(4, 21, 22)},
	{snapshot: snapshot(21, 5)},
	{hard: hard(5, 21), entries: entries(5, 22, 22)},
}

func encode(s raft.PersistentState) string {
	if len(s.Entries) == 0 {
		s.Entries = nil
	}
	data, _ := json.Marshal(s)
	return string(data)
}

// runSteps runs steps until one fails. It returns the acknowledged state and the
// state that the failed step would have stored.
func runSteps(fsys FS, steps []step) (s *Store, acked, next raft.PersistentState, err error) {
	s, acked, _, err = Open(fsys)
	for i := 0; err == nil && i < len(steps); i++ {
		if err = steps[i].run(s); err == nil {
			acked = steps[i].applyTo(acked)
		} else {
			return s, acked, steps[i].applyTo(acked), err
		}
	}
	return s, acked, acked, err
}

// storedState opens the folder and returns the stored state as JSON.
func storedState(fsys *memFS) (string, error) {
	s, stored, _, err := Open(fsys)
	if err != nil {
		return "", err
	}
	return encode(stored), s.Close()
}

// checkCrash crashes a run at one operation, then crashes the recovery at each of
// its operations. It returns an error if a restart finds neither the acknowledged
// state nor that of the failed step.
func checkCrash(steps []step, at int, l loss, seed uint64) error {
	first := newMemFS(seed)
	first.crashAt = at
	_, acked, next, _ := runSteps(first, steps)
	for inner := 0; ; inner++ {
		second := first.afterCrash(l)
		second.crashAt = inner
		got, err := storedState(second)
		if inner > 0 && !errors.Is(err, errCrashed) && second.ops < inner {
			return nil // the recovery has fewer operations
		}
		if inner == 0 && err != nil {
			return fmt.Errorf("crash at %d (%s), loss %d: %w", at, first.opKinds[at-1], l, err)
		}
		for secondLoss := range lossKinds {
			third := second.afterCrash(secondLoss)
			after, err := storedState(third)
			if err != nil || after != encode(acked) && after != encode(next) {
				return fmt.Errorf("crash at %d (%s), loss %d, recovery crash at %d, loss %d: %v\n got   %s\n acked %s\n next  %s",
					at, first.opKinds[at-1], l, inner, secondLoss, err, after, encode(acked), encode(next))
			}
			if inner == 0 && after != got {
				return fmt.Errorf("crash at %d (%s), loss %d: recovered %s, and after loss %d %s", at, first.opKinds[at-1], l, got, secondLoss, after)
			}
		}
	}
}

// TestCrashAtEveryOperation guards against losing or inventing state when the
// machine or the process stops at any file operation, also while it recovers from
// an earlier crash.
func TestCrashAtEveryOperation(t *testing.T) {
	is := is.New(t)
	reference := newMemFS(1)
	_, acked, _, err := runSteps(reference, workload)
	is.NoErr(err)
	got, err := storedState(reference)
	is.NoErr(err)
	is.Equal(got, encode(acked)) // the run without a crash
	runs := 0
	for at := 1; at <= reference.ops; at++ {
		for l := range lossKinds {
			for seed := range uint64(8) {
				is.NoErr(checkCrash(workload, at, l, seed))
				runs++
			}
		}
	}
	t.Logf("%d operations, %d runs", reference.ops, runs)
}

// TestFailureAtEveryOperation guards against a store that accepts writes after a
// failed write or sync, or retries the sync.
func TestFailureAtEveryOperation(t *testing.T) {
	is := is.New(t)
	reference := newMemFS(1)
	_, _, _, err := runSteps(reference, workload)
	is.NoErr(err)
	for at := 1; at <= reference.ops; at++ {
		for seed := range uint64(8) {
			fsys := newMemFS(seed)
			fsys.failAt = at
			s, acked, next, err := runSteps(fsys, workload)
			is.True(errors.Is(err, errInjected))
			if s != nil {
				failed := &WriteFailedError{}
				is.True(errors.As(err, &failed))
				ops := fsys.ops
				is.True(errors.As(s.Save(hard(9, 1), nil), &failed))
				is.True(errors.As(s.SaveSnapshot(*snapshot(99, 9)), &failed))
				is.Equal(fsys.ops, ops) // no further file operation
			}
			got, err := storedState(fsys.afterCrash(loss(seed) % lossKinds))
			is.NoErr(err)
			is.True(got == encode(acked) || got == encode(next))
		}
	}
}

// TestGeneratedSteps guards against lost or invented state after a crash in step
// sequences that the fixed workload does not contain.
func TestGeneratedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var steps []step
		var m raft.PersistentState
		term := uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			last := m.Snapshot.Index + uint64(len(m.Entries))
			term += rapid.Uint64Range(0, 1).Draw(t, "term")
			st := step{hard: hard(term, m.Snapshot.Index)}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				index := rapid.Uint64Range(m.Snapshot.Index+1, last+5).Draw(t, "index")
				st = step{snapshot: snapshot(index, term)}
				if index <= last && rapid.Bool().Draw(t, "same history") {
					st.snapshot.Term = m.Entries[index-m.Snapshot.Index-1].Term
				}
			case 1, 2:
				from := rapid.Uint64Range(m.Snapshot.Index+1, last+1).Draw(t, "from")
				st.entries = entries(term, from, from+rapid.Uint64Range(0, 3).Draw(t, "count"))
			}
			steps, m = append(steps, st), st.applyTo(m)
		}
		reference := newMemFS(1)
		if _, _, _, err := runSteps(reference, steps); err != nil {
			t.Fatal(err)
		}
		at := rapid.IntRange(1, reference.ops).Draw(t, "crash")
		l := loss(rapid.IntRange(0, int(lossKinds)-1).Draw(t, "loss"))
		if err := checkCrash(steps, at, l, rapid.Uint64().Draw(t, "seed")); err != nil {
			t.Fatal(err)
		}
	})
}
