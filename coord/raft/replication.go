package raft

import "fmt"

// flush sends as many appends as the limits of each recipient allow, and starts the
// heartbeat round that new reads wait for. It runs once for each Ready, so that
// proposals and reads made since the last one share messages.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	if n.reads.assign(n.lead.round + 1) {
		n.startHeartbeatRound()
	}
	for _, id := range n.recipients() {
		n.sendAppends(id, n.lead.progress[id])
	}
	n.reads.confirm(n.quorumRound())
}

func (n *Node) sendAppends(id ID, p *followerProgress) {
	for p.next <= n.log.last() {
		switch {
		case p.state == Snapshotting, p.state == Probing && p.paused,
			p.state == Replicating && (len(p.pending) >= n.cfg.MaxInflight || p.pendingBytes() >= n.cfg.MaxInflightBytes):
			return
		case p.next <= n.log.baseIndex:
			n.sendSnapshot(id, p)
			return
		}
		before := p.next - 1
		term, _ := n.log.term(before)
		entries := n.log.batch(p.next, n.cfg.MaxBatchBytes)
		n.send(Message{Kind: MsgAppend, To: id, Index: before, LogTerm: term, Entries: entries, Commit: n.log.commit})
		if p.state == Probing {
			p.paused, p.probed = true, n.lead.round
			return
		}
		p.next += uint64(len(entries))
		p.pending = append(p.pending, inflightAppend{last: p.next - 1, bytes: dataBytes(entries), round: n.lead.round})
	}
}

func (n *Node) sendSnapshot(id ID, p *followerProgress) {
	s := n.log.snapshot
	p.state, p.snapshotIndex, p.snapshotTick = Snapshotting, s.Index, n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: &s})
}

// stepReply handles the reply of a replica to the leader of the current term.
func (n *Node) stepReply(m Message) error {
	p := n.lead.progress[m.From]
	if p == nil {
		return nil // removed, or not a member yet
	}
	p.replied, p.repliedTick = true, n.now
	if m.Kind == MsgHeartbeatReply {
		return n.stepHeartbeatReply(m, p)
	}
	if m.Index > n.log.last() || m.HintIndex > m.Index {
		return &MalformedError{Kind: m.Kind, From: m.From, Reason: fmt.Sprintf(
			"index %d, hint %d with last entry %d", m.Index, m.HintIndex, n.log.last())}
	}
	if m.Reject {
		n.stepAppendRejected(m, p)
		return nil
	}
	p.accepted(m.Index)
	n.maybeCommit()
	n.maybeTransfer()
	return nil
}

// stepAppendRejected moves the next index back to a position where the logs may
// match.
func (n *Node) stepAppendRejected(m Message, p *followerProgress) {
	switch {
	case m.Index <= p.match:
		return // an outdated or duplicate reply: the logs are known to match up to Index
	case p.state == Replicating:
		p.probe()
	case p.state == Probing && m.Index == p.next-1:
		hint := n.log.lastWithTermUpTo(m.HintIndex, m.HintTerm)
		p.next = min(max(p.match, hint)+1, m.Index)
		p.paused = false
	}
}

func (n *Node) stepHeartbeatReply(m Message, p *followerProgress) error {
	if m.Round > n.lead.round {
		return &MalformedError{Kind: m.Kind, From: m.From, Reason: fmt.Sprintf(
			"round %d was not opened; the last is %d", m.Round, n.lead.round)}
	}
	for _, s := range n.lead.rounds {
		if s.round == m.Round && m.Round > p.ackedRound {
			p.ackedRound, p.ackedTick = s.round, s.tick
		}
	}
	p.heartbeatAcked(m.Round)
	if p.canDiscard(n.log.commit, n.lead.round) {
		delete(n.lead.progress, m.From)
	}
	return nil
}
