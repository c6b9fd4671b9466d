package raft

// sticky reports whether a leader may still rely on this replica: it heard
// one within the minimum election timeout. A replica that just started cannot
// know whom it heard before, so it counts as having heard a leader.
func (n *Node) sticky() bool {
	return n.role == Leader || n.now-n.heard < uint64(n.cfg.ElectionTicks)
}

// preCampaign asks whether an election could be won, without a new term. A
// replica that cannot reach a majority therefore disturbs nobody when it
// returns.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, ""
	n.retrySoon()
	n.votes = map[ID]bool{n.cfg.ID: true}
	if n.wonVotes() {
		n.campaign(false)
		return
	}
	n.requestVotes(Message{Kind: MsgPreVote, Term: n.term + 1})
}

// campaign starts an election in the next term. force is set by a leadership
// transfer.
func (n *Node) campaign(force bool) {
	n.term++
	n.vote = n.cfg.ID
	n.role, n.leader = Candidate, ""
	n.retrySoon()
	n.votes = map[ID]bool{n.cfg.ID: true}
	if n.wonVotes() {
		n.becomeLeader()
		return
	}
	n.requestVotes(Message{Kind: MsgVote, Force: force})
}

// retrySoon starts a timer shorter than an election timeout: pre-votes raise
// no term, and a refusal is often due to a few ticks of difference between
// the voters.
func (n *Node) retrySoon() {
	n.timer = 0
	half := n.cfg.ElectionTicks / 2
	n.limit = half + n.cfg.Rand.IntN(half+1)
}

func (n *Node) requestVotes(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, id := range n.membership().Voters {
		if id != n.cfg.ID {
			m.To = id
			n.send(m)
		}
	}
}

// wonVotes reports whether a majority of the voters granted.
func (n *Node) wonVotes() bool {
	m, granted := n.membership(), 0
	for _, id := range m.Voters {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= m.Quorum()
}

// stepPreVote answers without changing any state.
func (n *Node) stepPreVote(m Message) {
	if m.Term > n.term && !n.sticky() && n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
}

// stepVote grants at most one vote in a term. A sticky replica ignores the
// request and its term, unless the leader itself handed over (Force).
func (n *Node) stepVote(m Message) {
	if m.Term < n.term {
		n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	if n.sticky() && !m.Force {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	free := n.vote == m.From || n.vote == "" && n.leader == ""
	if !free || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	n.vote = m.From
	n.resetTimer()
	n.send(Message{Kind: MsgVoteReply, To: m.From})
}

func (n *Node) stepPreVoteReply(m Message) {
	if n.role != PreCandidate || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.campaign(false)
	}
}

func (n *Node) stepVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.becomeLeader()
	}
}
