package raft

// sticky reports whether this replica refuses votes because a leader may still
// rely on it (leader stickiness): it leads, or received a message of a leader
// within the minimum election timeout. The start of the process counts as such a
// message, because the replica may have received one shortly before.
func (n *Node) sticky() bool {
	return n.role == Leader || n.now-n.lastContact < uint64(n.cfg.ElectionTicks)
}

// preCampaign requests pre-votes, which show whether this replica could win an
// election, without starting a term. A replica that was cut off from the majority
// therefore does not disturb the group when it is connected again.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, ""
	n.resetCandidateTimer()
	n.votes = map[ID]bool{n.cfg.ID: true}
	if n.wonVotes() {
		n.campaign(false)
		return
	}
	n.requestVotes(Message{Kind: MsgPreVote, Term: n.term + 1})
}

// campaign starts an election in the next term. force is true in a leadership
// transfer: stickiness does not apply to the vote requests then.
func (n *Node) campaign(force bool) {
	n.term++
	n.vote = n.cfg.ID
	n.role, n.leader = Candidate, ""
	n.resetCandidateTimer()
	n.votes = map[ID]bool{n.cfg.ID: true}
	if n.wonVotes() {
		n.becomeLeader()
		return
	}
	n.requestVotes(Message{Kind: MsgVote, Force: force})
}

// resetCandidateTimer starts a timer that is shorter than the election timeout, so
// that a refused candidate retries soon: pre-votes do not raise the term, and a
// refusal is often due to a few ticks of difference between the voters.
func (n *Node) resetCandidateTimer() {
	n.elapsed = 0
	half := n.cfg.ElectionTicks / 2
	n.timeout = half + n.cfg.Rand.IntN(half+1)
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

// wonVotes reports whether a majority of the voters has granted the vote or
// pre-vote.
func (n *Node) wonVotes() bool {
	m, granted := n.membership(), 0
	for _, id := range m.Voters {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= m.Quorum()
}

// stepPreVote answers a pre-vote request without changing any state.
func (n *Node) stepPreVote(m Message) {
	if m.Term > n.term && !n.sticky() && n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
}

// stepVote answers a vote request. It grants at most one vote in a term. A sticky
// replica ignores the request and its term, unless Force shows that the leader
// itself transferred leadership.
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
	available := n.vote == m.From || n.vote == "" && n.leader == ""
	if !available || !n.log.upToDate(m.Index, m.LogTerm) {
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
