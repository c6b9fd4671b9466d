package raft

// Role is a replica's part in the current term.
type Role uint8

const (
	// Follower receives entries from a leader or waits for one.
	Follower Role = iota
	// PreCandidate requests pre-votes.
	PreCandidate
	// Candidate requests votes in its term.
	Candidate
	// Leader appends entries and replicates them.
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String implements fmt.Stringer.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "invalid"
}

// Node is one replica of the log. Create it with New.
type Node struct {
	cfg                Config
	term               uint64
	vote               ID
	persistedHardState HardState
	log                raftLog
	history            membershipHistory

	role        Role
	leader      ID
	now         uint64 // ticks since New
	lastContact uint64 // tick of the last message from a leader; 0 at the start
	elapsed     int    // ticks since the election timer was reset
	timeout     int    // ticks after which the timer fires
	votes       map[ID]bool

	lead leadership

	reads           readQueue
	messages        []Message
	pendingSnapshot *Snapshot
	readyTaken      bool // Ready was called, and Advance not yet
}

// New returns a replica that continues from state. The caller has already restored
// its state machine from state.Snapshot; committed entries after the snapshot are
// in the first Ready. The error is a *ConfigError or an *InvalidStateError.
func New(cfg Config, state PersistentState) (*Node, error) {
	cfg, err := cfg.validated()
	if err != nil {
		return nil, err
	}
	if err := state.check(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, term: state.HardState.Term, vote: state.HardState.Vote, persistedHardState: state.HardState, log: newLog(state)}
	if n.term < state.Snapshot.Term {
		// The snapshot was synced and the hard state was not. No vote in the
		// snapshot's term can have been sent before its hard state was synced.
		n.term, n.vote = state.Snapshot.Term, ""
	}
	n.history = membershipHistory{{index: state.Snapshot.Index, membership: state.Snapshot.Membership.clone()}}
	n.history.appendFrom(state.Entries)
	n.resetTimer()
	return n, nil
}

// Tick advances the replica's time by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.elapsed++
	if n.elapsed < n.timeout {
		return
	}
	if n.membership().IsVoter(n.cfg.ID) {
		n.preCampaign()
		return
	}
	// A replica without a vote starts no election that would show that the leader is
	// gone, or that it no longer sends anything to this replica.
	n.leader = ""
}

// Step handles a received message. It returns a *MalformedError for a message
// that no correct replica sends; such a message does not change the log, but may
// raise the term and change the leader.
func (n *Node) Step(m Message) error {
	if err := m.check(n.cfg.ID); err != nil {
		return err
	}
	switch {
	case m.Kind == MsgPreVote:
		n.stepPreVote(m)
		return nil
	case m.Kind == MsgVote:
		n.stepVote(m)
		return nil
	case m.Term < n.term:
		n.rejectOldTerm(m)
		return nil
	case m.Kind == MsgPreVoteReply && !m.Reject:
		n.stepPreVoteReply(m)
		return nil
	case m.Kind == MsgTimeoutNow:
		n.stepTimeoutNow(m)
		return nil
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.stepFromLeader(m)
	case MsgAppendReply, MsgHeartbeatReply:
		if n.role == Leader {
			return n.stepReply(m)
		}
	case MsgVoteReply:
		n.stepVoteReply(m)
	}
	return nil
}

// rejectOldTerm answers a leader of an earlier term with the current term, so
// that it steps down. Without the answer a replica whose term is higher could
// never rejoin.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: m.Index, Reject: true})
	}
}

// Propose appends a command to the leader's log. The entry may still be lost until
// it is in Ready.Committed; see EntryID. The error is a *NotLeaderError,
// ErrTransferring or ErrTooManyUncommitted.
func (n *Node) Propose(data []byte) (EntryID, error) {
	if err := n.canPropose(); err != nil {
		return EntryID{}, err
	}
	if uncommitted := n.log.bytesAfter(n.log.commit); uncommitted > 0 && uncommitted+len(data) > n.cfg.MaxUncommittedBytes {
		return EntryID{}, ErrTooManyUncommitted
	}
	return n.appendEntry(EntryCommand, data), nil
}

func (n *Node) canPropose() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.lead.transferee != "" {
		return ErrTransferring
	}
	return nil
}

// Compact records data as the snapshot of the state after the entry at index, which
// must be applied, and removes the entries up to it, except the last KeepEntries with
// at most KeepBytes of data, or half the size of the snapshot if that is more.
// The caller persists the result of Snapshot. The error is ErrNotApplied or
// ErrCompacted.
func (n *Node) Compact(index uint64, data []byte) error {
	switch {
	case index > n.log.applied:
		return ErrNotApplied
	case index <= n.log.snapshot.Index:
		return ErrCompacted
	}
	term, _ := n.log.term(index)
	n.log.compact(Snapshot{Index: index, Term: term, Membership: n.history.at(index).clone(), Data: data},
		n.cfg.KeepEntries, max(n.cfg.KeepBytes, len(data)/2))
	n.history.compact(n.log.baseIndex)
	return nil
}

// Snapshot returns the latest snapshot: the one the replica started with, the
// last one received from a leader, or the last one made by Compact.
func (n *Node) Snapshot() Snapshot { return n.log.snapshot }

func (n *Node) membership() Membership { return n.history.current().membership }

// send adds a message to the next Ready; its term is the current one unless set.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// becomeFollower makes this replica a follower in term, which is the current one
// or a later one. If it led, pending reads fail.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	if n.role == Leader {
		n.reads.failAll()
		n.lead = leadership{}
	}
	n.role, n.leader, n.votes = Follower, leader, nil
	n.resetTimer()
}

// resetTimer starts a new election timeout of one to two ElectionTicks.
func (n *Node) resetTimer() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + 1 + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}
