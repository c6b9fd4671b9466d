package raft

// Status is a replica's state for operators and for the caller's decisions.
type Status struct {
	ID     ID
	Term   uint64
	Role   Role
	Leader ID // empty if not known
	Commit uint64
	// Applied is the last entry whose Ready was advanced.
	Applied   uint64
	LastIndex uint64
	// Membership is the one in force, which may not be committed yet.
	Membership Membership
	// Progress holds all other members. It is nil unless this replica leads.
	Progress map[ID]Progress
	// QuorumActive: this replica leads, and a quorum answered a heartbeat
	// round that was sent within the last ElectionTicks minus a margin. At
	// most one replica of the group is QuorumActive at any moment.
	QuorumActive bool
	// TermApplied: this replica leads and has applied an entry of its own
	// term, so its state contains everything committed before.
	TermApplied bool
}

// Progress is the leader's view of another replica.
type Progress struct {
	// Match is the last index known to be synced there.
	Match uint64
	// Next is the next index to send.
	Next  uint64
	State ProgressState
	// Inflight is the number of appends that are not answered.
	Inflight int
	Learner  bool
	// Active: it answered a heartbeat round sent within ElectionTicks.
	Active bool
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
	s.TermApplied = n.log.applied >= n.lead.first
	s.Progress = make(map[ID]Progress, len(n.lead.peers))
	for id, p := range n.lead.peers {
		if p.removed > 0 {
			continue
		}
		s.Progress[id] = Progress{
			Match: p.match, Next: p.next, State: p.state, Inflight: len(p.pending),
			Learner: s.Membership.IsLearner(id), Active: n.active(p),
		}
	}
	return s
}
