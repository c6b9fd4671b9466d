package raft

// pendingRead is a read that waits for a heartbeat round to be answered.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64 // 0 until a round is assigned
}

// readQueue contains reads in the order of their requests: those that wait for a
// heartbeat round, and the results of the others.
type readQueue struct {
	waiting []pendingRead
	done    []ReadState
}

// ReadIndex requests the index that a linearizable read must observe. The result is
// in Ready.Reads, with the same id, after a quorum has confirmed that this replica
// still led after the call. The error is a *NotLeaderError.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	// Until the no-op is committed, the commit index may be below that of an
	// earlier leader. All entries committed by earlier leaders precede the no-op.
	n.reads.waiting = append(n.reads.waiting, pendingRead{id: id, index: max(n.log.commit, n.lead.termStart)})
	return nil
}

// assign sets the round of all reads without one, and reports whether there were
// any.
func (q *readQueue) assign(round uint64) bool {
	assigned := false
	for i := range q.waiting {
		if q.waiting[i].round == 0 {
			q.waiting[i].round = round
			assigned = true
		}
	}
	return assigned
}

// confirm moves the reads of rounds up to round, which a quorum has answered, to
// done.
func (q *readQueue) confirm(round uint64) {
	i := 0
	for ; i < len(q.waiting) && q.waiting[i].round <= round; i++ {
		q.done = append(q.done, ReadState{ID: q.waiting[i].id, Index: q.waiting[i].index})
	}
	q.waiting = q.waiting[i:]
}

// failAll sets LeadershipLost in the results of all reads.
func (q *readQueue) failAll() {
	for _, r := range q.waiting {
		q.done = append(q.done, ReadState{ID: r.id, LeadershipLost: true})
	}
	for i := range q.done {
		q.done[i].LeadershipLost = true
	}
	q.waiting = nil
}

// hasDone reports whether takeDone would return any read.
func (q *readQueue) hasDone(commit uint64) bool {
	for _, r := range q.done {
		if r.LeadershipLost || r.Index <= commit {
			return true
		}
	}
	return false
}

// takeDone removes and returns the failed reads and those whose index is at most
// commit.
func (q *readQueue) takeDone(commit uint64) []ReadState {
	var ready, rest []ReadState
	for _, r := range q.done {
		if r.LeadershipLost || r.Index <= commit {
			ready = append(ready, r)
		} else {
			rest = append(rest, r)
		}
	}
	q.done = rest
	return ready
}
