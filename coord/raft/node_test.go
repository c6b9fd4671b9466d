package raft

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestIsolatedReplicaReturns guards against a replica that forces an election when
// it is connected again after a long isolation, and against one that cannot catch up
// because the entries that it lacks are compacted.
func TestIsolatedReplicaReturns(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSim(t, seed, 3)
		s.duplication, s.maxDelay = 0.05, tickTime // no loss: three lost messages in a row may cost the leader its quorum
		for s.run(40); s.leader() == nil; {
			s.run(1)
		}
		l := s.leader()
		term := l.node.term
		away := s.replicas[0]
		if away == l {
			away = s.replicas[1]
		}
		s.isolate(away, true)
		for i := range 400 {
			s.write(l)
			s.run(1)
			if i%50 == 49 {
				s.compact(l)
			}
		}
		is.True(away.applied < 10)
		is.Equal(away.node.term, term) // pre-votes raise no term
		s.isolate(away, false)
		s.run(40)
		is.Equal(s.leader(), l)
		is.Equal(l.node.term, term)
		is.True(l.applied > 400)
		is.True(away.applied >= l.applied-1)
		is.True(away.node.Snapshot().Index > 1) // caught up by a snapshot
	}
}

// TestFlowControl guards against a leader that sends without bound to a
// replica that does not answer.
func TestFlowControl(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(3)
	n := g.nodes["n1"]
	n.cfg.MaxInflight, n.cfg.MaxBatchBytes = 3, 100
	for i := range 50 {
		_, err := n.Propose(fmt.Appendf(nil, "%030d", i))
		is.NoErr(err)
	}
	rd := n.Ready()
	sent := map[ID]int{}
	for _, m := range rd.Messages {
		sent[m.To]++
		is.Equal(m.Kind, MsgAppend)
		is.Equal(len(m.Entries), 3) // 90 of 100 bytes
	}
	is.Equal(sent, map[ID]int{"n2": 3, "n3": 3})
	n.Advance(rd)
	is.True(!n.HasReady())
	is.Equal(n.Status().Progress["n2"].Inflight, 3)
}

// TestReplacedWhileSyncing guards against entries that are never synced, because
// they replaced others while those were being synced.
func TestReplacedWhileSyncing(t *testing.T) {
	is := is.New(t)
	g := &testGroup{nodes: map[ID]*Node{}, disks: map[ID]*PersistentState{}}
	g.start("n1", Bootstrap([]ID{"n1", "n2", "n3"}))
	n := g.nodes["n1"]
	m := Message{Kind: MsgAppend, From: "n2", To: "n1", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}}}
	is.NoErr(n.Step(m))
	rd := n.Ready()
	m.From, m.Term, m.Entries = "n3", 3, []Entry{{Term: 3, Index: 2}, {Term: 3, Index: 3}}
	is.NoErr(n.Step(m))
	n.Advance(rd)
	is.Equal(n.Ready().Entries, m.Entries)
}

// TestCommitOfUnconfirmedSuffix guards against a follower that commits entries of
// an old leader because the new leader's commit index covers their positions.
func TestCommitOfUnconfirmedSuffix(t *testing.T) {
	is := is.New(t)
	state := Bootstrap([]ID{"n1", "n2", "n3"})
	state.HardState.Term, state.Entries = 2, []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}}
	g := &testGroup{nodes: map[ID]*Node{}, disks: map[ID]*PersistentState{}}
	g.start("n1", state)
	is.NoErr(g.nodes["n1"].Step(Message{Kind: MsgAppend, From: "n2", To: "n1", Term: 3, Index: 1, LogTerm: 1, Commit: 3,
		Entries: state.Entries[:1]}))
	is.Equal(g.nodes["n1"].Status().Commit, uint64(2))
}

// TestPersistentState guards against a start with an invalid configuration or with
// persisted state of which a part is lost or invalid.
func TestPersistentState(t *testing.T) {
	is := is.New(t)
	_, err := New(Config{ID: "n1"}, PersistentState{})
	is.True(errors.As(err, new(*ConfigError)))
	e := func(term, index uint64) Entry { return Entry{Term: term, Index: index} }
	for _, entries := range [][]Entry{
		{e(1, 3)}, {e(1, 2), e(1, 4)}, {e(2, 2)}, {e(0, 2)}, {{Term: 1, Index: 2, Kind: 9}},
		{{Term: 1, Index: 2, Kind: EntryMembership, Data: []byte("{}")}}, {}, // the commit index is 2
	} {
		state := Bootstrap([]ID{"n1", "n2"})
		state.Entries, state.HardState.Commit = entries, 2
		g := &testGroup{nodes: map[ID]*Node{}, disks: map[ID]*PersistentState{}}
		g.start("n1", state)
		is.True(g.out.Len() > 0) // refused
	}
}

// TestArbitraryMessages guards against a panic, or an entry that is applied twice,
// after messages that no correct replica sends.
func TestArbitraryMessages(t *testing.T) {
	small := rapid.OneOf(rapid.Uint64Range(0, 8), rapid.Uint64())
	ids := rapid.SampledFrom([]ID{"", "n1", "n2", "n3", "n9"})
	entry := rapid.Custom(func(t *rapid.T) Entry {
		return Entry{Term: small.Draw(t, "term"), Index: small.Draw(t, "index"), Kind: EntryKind(rapid.IntRange(0, 3).Draw(t, "kind")),
			Data: rapid.SampledFrom([][]byte{nil, []byte("x"), []byte(`{"v":["n1"]}`)}).Draw(t, "data")}
	})
	message := rapid.Custom(func(t *rapid.T) Message {
		m := Message{Kind: MessageKind(rapid.IntRange(0, 11).Draw(t, "kind")), From: ids.Draw(t, "from"), To: "n1",
			Term: small.Draw(t, "term"), Index: small.Draw(t, "index"), LogTerm: small.Draw(t, "logTerm"),
			Commit: small.Draw(t, "commit"), Round: small.Draw(t, "round"), HintIndex: small.Draw(t, "hint"),
			HintTerm: small.Draw(t, "hintTerm"), Reject: rapid.Bool().Draw(t, "reject"), Force: rapid.Bool().Draw(t, "force")}
		if m.Kind == MsgAppend {
			m.Entries = rapid.SliceOfN(entry, 0, 3).Draw(t, "entries")
		}
		if m.Kind == MsgSnapshot {
			m.Snapshot = &Snapshot{Index: small.Draw(t, "si"), Term: small.Draw(t, "st"), Membership: Membership{Voters: []ID{"n1", "n2"}}}
		}
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGroup(3)
		n := g.nodes["n1"]
		if rapid.Bool().Draw(t, "follower") {
			n = g.nodes["n2"]
		}
		applied := n.log.applied
		for _, m := range rapid.SliceOfN(message, 1, 30).Draw(t, "messages") {
			m.To = n.cfg.ID
			if err := n.Step(m); err != nil && !errors.As(err, new(*MalformedError)) {
				t.Fatalf("untyped error %v", err)
			}
			n.Tick()
			for n.HasReady() {
				rd := n.Ready()
				for _, e := range rd.Committed {
					if e.Index <= applied {
						t.Fatalf("entry %d is applied twice", e.Index)
					}
					applied = e.Index
				}
				n.Advance(rd)
			}
			_ = n.Status()
		}
	})
}

// TestLearnerForgetsSilentLeader guards against a replica without a vote that relies on a
// leader which no longer sends anything to it.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 3)
	for s.run(40); s.leader() == nil; {
		s.run(1)
	}
	s.perform(action{Kind: "grow"})
	s.run(10)
	learner := s.replicas[3]
	is.Equal(learner.node.Status().Leader, s.leader().id)
	s.isolate(learner, true)
	s.run(2*s.cfg.ElectionTicks + 2)
	is.Equal(learner.node.Status().Leader, ID(""))
	s.isolate(learner, false)
	s.run(s.cfg.ElectionTicks)
	is.Equal(learner.node.Status().Leader, s.leader().id)
}

// TestLogIsBoundedInBytes guards against a log whose memory grows with the size of its
// entries: those that are retained before a snapshot, those that a replica has not
// answered, and those that are not committed.
func TestLogIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 3)
	for s.run(40); s.leader() == nil; {
		s.run(1)
	}
	for range 100 {
		s.write(s.leader())
		s.run(1)
	}
	s.run(5)
	l := s.leader()
	l.node.cfg.KeepEntries, l.node.cfg.KeepBytes = 100, 50
	s.compact(l)
	kept := l.node.log.slice(l.node.log.baseIndex+1, l.node.log.snapshot.Index)
	is.True(len(kept) > 0)
	is.True(dataBytes(kept) <= 50)

	g := newTestGroup(3)
	n := g.nodes["n1"]
	n.cfg.MaxInflightBytes, n.cfg.MaxBatchBytes, n.cfg.MaxUncommittedBytes = 150, 60, 400
	accepted := 0
	for {
		if _, err := n.Propose(make([]byte, 30)); err != nil {
			is.True(errors.Is(err, ErrTooManyUncommitted))
			break
		}
		accepted++
	}
	is.Equal(accepted, 13) // 390 of 400 bytes
	sent := map[ID]int{}
	for _, m := range n.Ready().Messages {
		sent[m.To] += dataBytes(m.Entries)
	}
	is.Equal(sent, map[ID]int{"n2": 180, "n3": 180}) // the last batch begins below 150 bytes
}

// TestLargeEntryIsAcceptedAlone guards against bounds that an entry larger than they are
// can never pass.
func TestLargeEntryIsAcceptedAlone(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(3)
	n := g.nodes["n1"]
	n.cfg.MaxInflightBytes, n.cfg.MaxBatchBytes, n.cfg.MaxUncommittedBytes = 15, 10, 20
	_, err := n.Propose(make([]byte, 100))
	is.NoErr(err)
	_, err = n.Propose(make([]byte, 1))
	is.True(errors.Is(err, ErrTooManyUncommitted))
	is.Equal(len(n.Ready().Messages), 2)
}
