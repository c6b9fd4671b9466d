package raft

// Status is the state of a replica, for operators and for decisions of the caller.
type Status struct {
	ID     ID
	Term   uint64
	Role   Role
	Leader ID // empty if not known, or silent for an election timeout
	Commit uint64
	// Applied is the index of the last entry that the caller has applied, as
	// reported by Advance.
	Applied   uint64
	LastIndex uint64
	// Membership is the one in force, which may not be committed yet.
	Membership Membership
	// Progress has an entry for each other member. It is nil unless this replica
	// leads.
	Progress map[ID]Progress
	// QuorumActive means that this replica leads, and that a quorum has answered a
	// heartbeat round that was sent within the last ElectionTicks minus a margin.
	// At most one replica of the group is QuorumActive at any moment.
	QuorumActive bool
	// TermApplied means that this replica leads and has applied an entry of its
	// own term, so that its state contains all entries committed before the term.
	TermApplied bool
}

// Progress is the leader's view of another replica.
type Progress struct {
	// Match is the last index known to be synced at the replica.
	Match uint64
	// Next is the next index to send.
	Next  uint64
	State ProgressState
	// Inflight is the number of appends that await their replies.
	Inflight int
	Learner  bool
	// Active means that the replica has answered a heartbeat round that was sent
	// within the last ElectionTicks.
	Active bool
	// Responding means that a reply of the replica has arrived within the last
	// ElectionTicks, however late it was sent. A slow replica is Responding without
	// being Active.
	Responding bool
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.term, Role: n.role, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, LastIndex: n.log.last(),
		Membership: n.membership().clone(),
	}
	if n.role != Leader {
		return s
	}
	s.QuorumActive = n.quorumActive()
	s.TermApplied = n.log.applied >= n.lead.termStart
	s.Progress = make(map[ID]Progress, len(n.lead.progress))
	for id, p := range n.lead.progress {
		if p.removedIndex > 0 {
			continue
		}
		s.Progress[id] = Progress{
			Match: p.match, Next: p.next, State: p.state, Inflight: len(p.pending),
			Learner: s.Membership.IsLearner(id), Active: n.active(p), Responding: n.responding(p),
		}
	}
	return s
}
