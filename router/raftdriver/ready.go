package raftdriver

import (
	"errors"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/store"
)

// ReadyProcessor processes what a raft node has ready: it stores entries and
// snapshots, sends messages and applies committed entries. It belongs to the
// goroutine that owns the node.
type ReadyProcessor struct {
	Store     *store.Store
	Transport *Transport
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotIndex is the index of the newest snapshot.
	SnapshotIndex uint64
	// appliedBytes is the data of the entries that were applied since the newest
	// snapshot, or since the start.
	appliedBytes int
}

// A snapshot is due once the entries that were applied since the last one have
// minSnapshotBytes of data and snapshotFactor times as much as that snapshot. It bounds
// the log in memory and on the disk, whatever the size of an entry, and the writes of
// snapshots to a part of those of entries. The log on the disk may also have entries that
// are not applied and, after changes of the leader, entries that were replaced; it is
// bounded by twice as much beside the entries that may be uncommitted.
const (
	minSnapshotBytes = 4 << 20
	snapshotFactor   = 2
)

// StateMachine contains the callbacks that change the replicated state.
type StateMachine struct {
	// Restore replaces the state by a snapshot from the leader.
	Restore func(*raft.Snapshot) error
	// Apply applies a committed entry.
	Apply func(raft.Entry)
	// OnAdvance is called after each processed raft.Ready.
	OnAdvance func()
}

// Process processes what the node has ready until nothing is left. After an
// error of the store or of Restore the node must not be used any more.
func (p *ReadyProcessor) Process(n *raft.Node, m StateMachine) error {
	for n.HasReady() {
		r := n.Ready()
		if err := p.persist(r); err != nil {
			return err
		}
		p.Transport.Send(r.Messages)
		// A snapshot without data is that of a group that was just bootstrapped; its
		// state is empty.
		if s := r.Snapshot; s != nil && len(s.Data) > 0 {
			if err := m.Restore(s); err != nil {
				return err
			}
			p.SnapshotIndex, p.appliedBytes = s.Index, 0
		}
		for _, e := range r.Committed {
			m.Apply(e)
			p.appliedBytes += len(e.Data)
		}
		n.Advance(r)
		m.OnAdvance()
	}
	return nil
}

// persist stores the snapshot, the hard state and the entries, which must be
// synced before the messages are sent.
func (p *ReadyProcessor) persist(r raft.Ready) error {
	if r.Snapshot != nil {
		if err := p.Store.SaveSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	return p.Store.Save(r.HardState, r.Entries)
}

// Compact takes a snapshot of the state once SnapshotEntries entries, or enough bytes of
// them, were applied since the last one, stores it and removes the entries that it covers;
// the node retains some of them in memory (raft.Config.KeepEntries and KeepBytes). Until
// then it does nothing. After an error the replica must stop.
func (p *ReadyProcessor) Compact(n *raft.Node, snapshot func() ([]byte, error)) error {
	applied := n.Status().Applied
	if applied == p.SnapshotIndex || applied < p.SnapshotIndex+p.SnapshotEntries && !p.isLarge(n) {
		return nil
	}
	data, err := snapshot()
	if err != nil {
		return err
	}
	if err := n.Compact(applied, data); err != nil {
		return err
	}
	p.SnapshotIndex, p.appliedBytes = applied, 0
	return p.Store.SaveSnapshot(n.Snapshot())
}

// isLarge reports whether a snapshot is due because of the size of the log.
func (p *ReadyProcessor) isLarge(n *raft.Node) bool {
	limit := max(minSnapshotBytes, snapshotFactor*len(n.Snapshot().Data))
	return p.appliedBytes >= limit || p.Store.LogBytes() >= int64(2*limit+raft.DefaultMaxUncommittedBytes)
}

// errNotCommitted means that an entry of another term was committed at the
// index of the proposal. The command had no effect and may be retried.
var errNotCommitted = errors.New("the command was not committed; send it again")

// ProposalResult is the result of applying a proposal, or the error because of
// which it was not applied.
type ProposalResult[R any] struct {
	Result R
	Err    error
}

// Proposals contains the pending proposals by log index. A proposal gets no
// result while its index is not applied, and none at all if a snapshot from
// the leader covers its index or another proposal is registered there, so
// callers must wait with a context. It belongs to the replica's goroutine.
type Proposals[R any] map[uint64]proposal[R]

type proposal[R any] struct {
	term   uint64
	result chan<- ProposalResult[R]
}

// Register registers a proposal, so that its result is sent to a channel. The
// channel must have free capacity, because Complete must not block.
func (p Proposals[R]) Register(at raft.EntryID, result chan<- ProposalResult[R]) {
	p[at.Index] = proposal[R]{term: at.Term, result: result}
}

// Complete sends the result of an applied entry to the channel that was
// registered at its index, if any. If the entry is of another term, the
// proposal was not committed and its channel gets an error.
func (p Proposals[R]) Complete(e raft.Entry, r ProposalResult[R]) {
	pending, ok := p[e.Index]
	if !ok {
		return
	}
	delete(p, e.Index)
	if pending.term != e.Term {
		r = ProposalResult[R]{Err: errNotCommitted}
	}
	pending.result <- r
}
