package raft

import "fmt"

// stepFromLeader handles a message of the leader of the current term.
func (n *Node) stepFromLeader(m Message) error {
	if n.role == Leader || n.leader != "" && n.leader != m.From {
		return &MalformedError{Kind: m.Kind, From: m.From, Reason: fmt.Sprintf("second leader in term %d", m.Term)}
	}
	if n.role != Follower || n.leader == "" {
		n.becomeFollower(n.term, m.From)
	}
	n.lastContact, n.elapsed = n.now, 0
	switch m.Kind {
	case MsgAppend:
		return n.stepAppend(m)
	case MsgSnapshot:
		return n.stepSnapshot(m)
	default:
		return n.stepHeartbeat(m)
	}
}

func (n *Node) stepHeartbeat(m Message) error {
	if m.Commit > n.log.last() {
		return &MalformedError{Kind: m.Kind, From: m.From, Reason: fmt.Sprintf(
			"commit index %d is after the last entry %d, which was acknowledged", m.Commit, n.log.last())}
	}
	n.log.commit = max(n.log.commit, m.Commit)
	n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Round: m.Round})
	return nil
}

func (n *Node) stepAppend(m Message) error {
	if m.Index < n.log.commit {
		// All entries up to commit match the leader's log.
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.commit})
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := n.log.lastWithTermUpTo(m.Index, m.LogTerm)
		hintTerm, _ := n.log.term(hint)
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: m.Index, Reject: true, HintIndex: hint, HintTerm: hintTerm})
		return nil
	}
	if added := n.log.newEntries(m.Entries); len(added) > 0 {
		// m.Index is at or after commit, so no committed entry is replaced.
		before := added[0].Index - 1
		n.log.truncate(before)
		n.history.truncate(before)
		n.log.append(added...)
		n.history.appendFrom(added)
	}
	end := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, end))
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: end})
	return nil
}

func (n *Node) stepSnapshot(m Message) error {
	s := *m.Snapshot
	switch {
	case s.Index <= n.log.commit:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.commit})
		return nil
	case n.log.matches(s.Index, s.Term):
		n.log.commit = s.Index
	default:
		n.log.restore(s)
		n.history = membershipHistory{{index: s.Index, membership: s.Membership.clone()}}
		n.pendingSnapshot = &s
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: s.Index})
	return nil
}
