package raft

// TransferLeadership hands leadership to another voter once it holds the
// whole log. Until then proposals are refused with ErrTransferring; after
// ElectionTicks without catch-up the transfer is given up.
func (n *Node) TransferLeadership(to ID) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	p := n.lead.peers[to]
	if p == nil || !n.membership().IsVoter(to) || !n.active(p) {
		return ErrInvalidTransferee
	}
	if n.lead.transfer != to {
		n.lead.transfer, n.lead.transferT = to, n.now
	}
	n.maybeTransfer()
	return nil
}

// maybeTransfer sends the order to campaign and steps down in the same step.
// The target's vote requests override stickiness, so this replica must not
// report QuorumActive once the order is sent; it cannot take it back.
func (n *Node) maybeTransfer() {
	p := n.lead.peers[n.lead.transfer]
	if p == nil || p.match != n.log.last() {
		return
	}
	n.send(Message{Kind: MsgTimeoutNow, To: n.lead.transfer})
	n.becomeFollower(n.term, "")
}

// stepTimeoutNow campaigns if the order is from the leader of this term. An
// order of any other term is late and has no effect.
func (n *Node) stepTimeoutNow(m Message) {
	if n.role == Follower && m.Term == n.term && m.From == n.leader && n.membership().IsVoter(n.cfg.ID) {
		n.campaign(true)
	}
}
