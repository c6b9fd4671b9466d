package raft

// Ready is the work that the caller has to do; see the package comment.
type Ready struct {
	// HardState is nil if it need not be persisted. A change of Commit alone is
	// included only together with entries, to save a sync.
	HardState *HardState
	// Snapshot, if not nil, replaces the whole persisted log and the applied
	// state.
	Snapshot *Snapshot
	// Entries are to be persisted. The first one replaces the persisted entry with
	// the same index and all after it.
	Entries []Entry
	// Committed entries are to be applied in order. They are persisted already,
	// or included in Entries.
	Committed []Entry
	// Messages are sent after HardState, Snapshot and Entries are synced.
	Messages []Message
	// Reads can be answered once Committed is applied.
	Reads []ReadState
}

// ReadState is the result of Node.ReadIndex.
type ReadState struct {
	ID uint64
	// Index is the commit index that the read observes.
	Index uint64
	// LeadershipLost means that this replica lost leadership before it could be
	// confirmed. The read must not be answered from this replica's state.
	LeadershipLost bool
}

// HasReady reports whether Ready would return any work. It is false between
// Ready and Advance.
func (n *Node) HasReady() bool {
	if n.readyTaken {
		return false
	}
	n.flush()
	return n.hardStateChanged() || n.pendingSnapshot != nil || n.log.stable < n.log.last() ||
		n.log.applied < n.log.commit || len(n.messages) > 0 || n.reads.hasDone(n.log.commit)
}

// Ready returns the next work. It returns an empty Ready if Advance was not called
// for the previous one.
func (n *Node) Ready() Ready {
	if n.readyTaken {
		return Ready{}
	}
	n.flush()
	r := Ready{
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.slice(n.log.stable+1, n.log.last()),
		Committed: n.log.slice(n.appliedAfterSnapshot()+1, n.log.commit),
		Messages:  n.messages,
		Reads:     n.reads.takeDone(n.log.commit),
	}
	if n.hardStateChanged() {
		hard := n.hardState()
		r.HardState = &hard
	}
	n.messages = nil
	n.readyTaken = true
	return r
}

// appliedAfterSnapshot returns the index up to which entries are applied once the
// pending snapshot, if any, is applied.
func (n *Node) appliedAfterSnapshot() uint64 {
	if n.pendingSnapshot != nil {
		return max(n.log.applied, n.pendingSnapshot.Index)
	}
	return n.log.applied
}

// Advance reports that the work in r, the last Ready, is done. Step and other
// methods may have been called since Ready.
func (n *Node) Advance(r Ready) {
	if !n.readyTaken {
		return
	}
	n.readyTaken = false
	if r.HardState != nil {
		n.persistedHardState = *r.HardState
	}
	if s := r.Snapshot; s != nil {
		if n.pendingSnapshot == s {
			n.pendingSnapshot = nil
			n.log.stable = max(n.log.stable, s.Index)
		}
		n.log.applied = max(n.log.applied, s.Index)
	}
	if len(r.Entries) > 0 {
		// If the entry was replaced since Ready, its successor is not synced yet.
		if e := r.Entries[len(r.Entries)-1]; n.log.matches(e.Index, e.Term) {
			n.log.stable = max(n.log.stable, e.Index)
		}
	}
	if len(r.Committed) > 0 {
		n.log.applied = max(n.log.applied, r.Committed[len(r.Committed)-1].Index)
	}
	if n.role == Leader {
		n.maybeCommit()
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

func (n *Node) hardStateChanged() bool {
	if n.term != n.persistedHardState.Term || n.vote != n.persistedHardState.Vote {
		return true
	}
	return n.log.stable < n.log.last() && n.log.commit != n.persistedHardState.Commit
}
