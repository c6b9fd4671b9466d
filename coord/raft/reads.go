package raft

// pendingRead is a read that waits for a heartbeat round to be answered.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64 // 0 until a round is assigned
}

// readQueue holds reads in the order they were asked for.
type readQueue struct {
	waiting []pendingRead
	done    []ReadState
}

// ReadIndex asks for the index that a linearizable read must observe. The
// answer comes in Ready.Reads after a quorum has confirmed that this replica
// still led after the call.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	// Until the no-op is committed, the commit index may lag behind what an
	// earlier leader committed. All of that precedes the no-op.
	n.reads.waiting = append(n.reads.waiting, pendingRead{id: id, index: max(n.log.commit, n.lead.first)})
	return nil
}

// assign gives round to all reads without one and reports whether any was.
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

// confirm moves reads up to the answered round to the done ones.
func (q *readQueue) confirm(round uint64) {
	i := 0
	for ; i < len(q.waiting) && q.waiting[i].round <= round; i++ {
		q.done = append(q.done, ReadState{ID: q.waiting[i].id, Index: q.waiting[i].index})
	}
	q.waiting = q.waiting[i:]
}

// loseAll answers every read as lost.
func (q *readQueue) loseAll() {
	for _, r := range q.waiting {
		q.done = append(q.done, ReadState{ID: r.id, LeadershipLost: true})
	}
	for i := range q.done {
		q.done[i].LeadershipLost = true
	}
	q.waiting = nil
}

func (q *readQueue) hasDone(commit uint64) bool {
	for _, r := range q.done {
		if r.LeadershipLost || r.Index <= commit {
			return true
		}
	}
	return false
}

// takeDone returns the answers that need entries up to commit at most.
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
