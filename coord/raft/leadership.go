package raft

import (
	"cmp"
	"maps"
	"slices"
)

// leadership is the state that a replica has only while it leads.
type leadership struct {
	progress         map[ID]*followerProgress // of all other members, and of removed ones for a while
	electedTick      uint64                   // tick of the election
	termStart        uint64                   // index of the term's no-op entry
	heartbeatElapsed int                      // ticks since the last round
	round            uint64                   // number of the last heartbeat round
	rounds           []heartbeatRound         // rounds of the last ElectionTicks
	transferee       ID                       // voter that leadership is transferred to once it has the whole log
	transferTick     uint64                   // tick at which the transfer was requested
}

// heartbeatRound is a heartbeat round and the tick at which it was sent.
type heartbeatRound struct{ round, tick uint64 }

// snapshotResendFactor times ElectionTicks is the time after which a snapshot
// without reply is sent again, if the replica has answered a heartbeat round that
// was sent after the snapshot. The transfer of a snapshot of several megabytes
// takes longer than a round trip.
const snapshotResendFactor = 4

// removedFactor times ElectionTicks is the longest time for which entries are sent
// to a removed replica. The leader stops earlier if the replica learns of its
// removal (see canDiscard).
const removedFactor = 10

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.lead = leadership{progress: map[ID]*followerProgress{}, electedTick: n.now, termStart: n.log.last() + 1}
	n.updateProgress(n.lead.termStart)
	n.appendEntry(EntryNoop, nil)
	n.startHeartbeatRound()
}

// updateProgress applies the membership entry at index to the progress of the
// replicas: it adds new members, to which this entry is sent first, and marks
// members that the entry removed.
func (n *Node) updateProgress(index uint64) {
	m := n.membership()
	for _, id := range append(slices.Clone(m.Voters), m.Learners...) {
		if p := n.lead.progress[id]; id != n.cfg.ID && (p == nil || p.removedIndex > 0) {
			n.lead.progress[id] = &followerProgress{next: index}
		}
	}
	for id, p := range n.lead.progress {
		if !m.Contains(id) && p.removedIndex == 0 {
			p.removedIndex, p.removedTick = index, n.now
		}
	}
}

// recipients returns the replicas to send messages to, in a fixed order.
func (n *Node) recipients() []ID { return slices.Sorted(maps.Keys(n.lead.progress)) }

func (n *Node) appendEntry(kind EntryKind, data []byte) EntryID {
	e := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	return EntryID{Term: e.Term, Index: e.Index}
}

// startHeartbeatRound sends a heartbeat of a new round to all recipients.
func (n *Node) startHeartbeatRound() {
	n.lead.heartbeatElapsed = 0
	n.lead.round++
	n.lead.rounds = append(n.lead.rounds, heartbeatRound{round: n.lead.round, tick: n.now})
	for _, id := range n.recipients() {
		p := n.lead.progress[id]
		n.send(Message{Kind: MsgHeartbeat, To: id, Round: n.lead.round, Commit: min(n.log.commit, p.match)})
	}
}

// tickLeader steps down if no quorum has answered a heartbeat round of the last
// ElectionTicks, but not within ElectionTicks after the election. It also ends
// transfers and the progress of removed replicas after their time limits, resends
// snapshots, and starts heartbeat rounds.
func (n *Node) tickLeader() {
	window := uint64(n.cfg.ElectionTicks)
	for len(n.lead.rounds) > 0 && n.now-n.lead.rounds[0].tick > window {
		n.lead.rounds = n.lead.rounds[1:]
	}
	if tick, ok := n.quorumTick(); n.now-n.lead.electedTick >= window && (!ok || n.now-tick >= window) {
		n.becomeFollower(n.term, "")
		return
	}
	if n.lead.transferee != "" && n.now-n.lead.transferTick >= window {
		n.lead.transferee = ""
	}
	for id, p := range n.lead.progress {
		if p.removedIndex > 0 && n.now-p.removedTick >= removedFactor*window {
			delete(n.lead.progress, id)
		}
		if p.state == Snapshotting && p.ackedTick > p.snapshotTick && n.now-p.snapshotTick >= snapshotResendFactor*window {
			p.probe()
		}
	}
	if n.lead.heartbeatElapsed++; n.lead.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.startHeartbeatRound()
	}
}

// quorumTick returns the tick at which the latest round was sent that a quorum of
// voters, including this replica, has answered. It returns false if there is none.
func (n *Node) quorumTick() (uint64, bool) {
	ticks := n.quorumOf(func(p *followerProgress) uint64 {
		if p.ackedRound == 0 {
			return 0
		}
		return p.ackedTick + 1
	}, n.now+1)
	return ticks - 1, ticks > 0
}

// quorumRound returns the latest round that a quorum has answered.
func (n *Node) quorumRound() uint64 {
	return n.quorumOf(func(p *followerProgress) uint64 { return p.ackedRound }, n.lead.round)
}

// quorumOf returns the highest value that a majority of voters has reached; own is
// this replica's value.
func (n *Node) quorumOf(value func(*followerProgress) uint64, own uint64) uint64 {
	m := n.membership()
	values := make([]uint64, 0, 8)
	for _, id := range m.Voters {
		if p := n.lead.progress[id]; p != nil {
			values = append(values, value(p))
		} else if id == n.cfg.ID {
			values = append(values, own)
		}
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	if len(values) < m.Quorum() {
		return 0
	}
	return values[m.Quorum()-1]
}

// quorumActive reports whether this replica leads and no other can have been
// elected since: every voter of a quorum refuses votes for ElectionTicks after the
// round that it answered was sent.
func (n *Node) quorumActive() bool {
	if n.role != Leader {
		return false
	}
	tick, ok := n.quorumTick()
	return ok && n.now-tick+uint64(n.cfg.quorumMargin()) <= uint64(n.cfg.ElectionTicks)
}

// active reports whether a replica has answered a heartbeat round that was sent
// within the last ElectionTicks.
func (n *Node) active(p *followerProgress) bool {
	return p.ackedRound > 0 && n.now-p.ackedTick < uint64(n.cfg.ElectionTicks)
}

// responding reports whether a reply of a replica has arrived within the last
// ElectionTicks.
func (n *Node) responding(p *followerProgress) bool {
	return p.replied && n.now-p.repliedTick < uint64(n.cfg.ElectionTicks)
}

// maybeCommit commits the entries that a quorum has synced, if the last of them is
// of this term. Entries of earlier terms are committed only together with one of
// this term, because a leader without them could still replace them.
func (n *Node) maybeCommit() {
	index := n.quorumOf(func(p *followerProgress) uint64 { return p.match }, n.log.stable)
	if index > n.log.commit && n.log.matches(index, n.term) {
		n.log.commit = index
	}
}
