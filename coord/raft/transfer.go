package raft

// TransferLeadership transfers leadership to another voter once it has the whole
// log. Until then proposals are refused with ErrTransferring; if the voter has not
// caught up after ElectionTicks, the transfer is cancelled. The error is a
// *NotLeaderError or ErrInvalidTransferee.
//
// A nil error only means that the transfer has begun. Once the voter has the whole
// log, this replica becomes a follower and its unanswered reads fail. A call with
// another voter replaces the transferee.
func (n *Node) TransferLeadership(to ID) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	p := n.lead.progress[to]
	if p == nil || !n.membership().IsVoter(to) || !n.active(p) {
		return ErrInvalidTransferee
	}
	if n.lead.transferee != to {
		n.lead.transferee, n.lead.transferTick = to, n.now
	}
	n.maybeTransfer()
	return nil
}

// maybeTransfer sends MsgTimeoutNow if the transferee has the whole log, and steps
// down in the same step. The vote requests of the transferee override stickiness
// and the message cannot be revoked, so this replica must not report QuorumActive
// once it is sent.
func (n *Node) maybeTransfer() {
	p := n.lead.progress[n.lead.transferee]
	if p == nil || p.match != n.log.last() {
		return
	}
	n.send(Message{Kind: MsgTimeoutNow, To: n.lead.transferee})
	n.becomeFollower(n.term, "")
}

// stepTimeoutNow campaigns if the message is from the leader of this term. A message
// of an earlier or later term has no effect.
func (n *Node) stepTimeoutNow(m Message) {
	if n.role == Follower && m.Term == n.term && m.From == n.leader && n.membership().IsVoter(n.cfg.ID) {
		n.campaign(true)
	}
}
