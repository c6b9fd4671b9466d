package raftdriver

import (
	"errors"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/store"
)

// ReadyProcessor carries out the work of a replica's log: what it has to store, send and
// apply.
type ReadyProcessor struct {
	Store  *store.Store
	Outbox *Transport
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotIndex is the index of the newest snapshot.
	SnapshotIndex uint64
}

// StateMachine is the state that the log's entries change.
type StateMachine struct {
	// Restore replaces the state by a snapshot from the leader.
	Restore func(*raft.Snapshot) error
	// Apply applies a committed entry.
	Apply func(raft.Entry)
	// OnAdvance is called after each round of work.
	OnAdvance func()
}

// Process works until there is nothing left to do.
func (p *ReadyProcessor) Process(n *raft.Node, m StateMachine) error {
	for n.HasReady() {
		r := n.Ready()
		if err := p.persist(r); err != nil {
			return err
		}
		p.Outbox.Send(r.Messages)
		if s := r.Snapshot; s != nil && len(s.Data) > 0 {
			if err := m.Restore(s); err != nil {
				return err
			}
			p.SnapshotIndex = s.Index
		}
		for _, e := range r.Committed {
			m.Apply(e)
		}
		n.Advance(r)
		m.OnAdvance()
	}
	return nil
}

// persist stores what must be synced before the messages are sent.
func (p *ReadyProcessor) persist(r raft.Ready) error {
	if r.Snapshot != nil {
		if err := p.Store.SaveSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	return p.Store.Save(r.HardState, r.Entries)
}

// Compact replaces the log by a snapshot of the state once it has grown.
func (p *ReadyProcessor) Compact(n *raft.Node, snapshot func() ([]byte, error)) error {
	applied := n.Status().Applied
	if applied < p.SnapshotIndex+p.SnapshotEntries {
		return nil
	}
	data, err := snapshot()
	if err != nil {
		return err
	}
	if err := n.Compact(applied, data); err != nil {
		return err
	}
	p.SnapshotIndex = applied
	return p.Store.SaveSnapshot(n.Snapshot())
}

// errLost means that another leader's entry took the proposal's place: the
// command had no effect and may be sent again.
var errLost = errors.New("the command was not committed; send it again")

// ProposalResult is what became of a proposal.
type ProposalResult[R any] struct {
	Result R
	Err    error
}

// Proposals hold the channels on which the results of proposals are awaited.
// They belong to the replica's goroutine.
type Proposals[R any] map[uint64]proposal[R]

type proposal[R any] struct {
	term   uint64
	result chan<- ProposalResult[R]
}

// Register has the result of a proposal sent to a channel with room for it.
func (p Proposals[R]) Register(at raft.EntryID, result chan<- ProposalResult[R]) {
	p[at.Index] = proposal[R]{term: at.Term, result: result}
}

// Complete sends the result of an applied entry to who waits for it.
func (p Proposals[R]) Complete(e raft.Entry, r ProposalResult[R]) {
	w, ok := p[e.Index]
	if !ok {
		return
	}
	delete(p, e.Index)
	if w.term != e.Term {
		r = ProposalResult[R]{Err: errLost}
	}
	w.result <- r
}
