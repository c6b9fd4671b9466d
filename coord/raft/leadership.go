package raft

import (
	"cmp"
	"maps"
	"slices"
)

// leadership is the state that a replica holds only while it leads.
type leadership struct {
	peers     map[ID]*peer // all other members, and removed ones for a while
	since     uint64       // tick of the election
	first     uint64       // index of the term's no-op entry
	heartbeat int          // ticks since the last round
	round     uint64       // last round opened
	sent      []sentRound  // rounds that still count for the quorum check
	transfer  ID           // target of a transfer that waits for catch-up
	transferT uint64       // tick at which the transfer was asked for
}

// sentRound is a heartbeat round and the tick at which it was sent.
type sentRound struct{ round, tick uint64 }

// snapshotResendFactor times ElectionTicks is the wait for the answer to a
// snapshot. A snapshot of several megabytes takes longer than a round trip.
const snapshotResendFactor = 4

// removedFactor times ElectionTicks is how long a removed replica that does
// not answer is still sent entries.
const removedFactor = 10

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.lead = leadership{peers: map[ID]*peer{}, since: n.now, first: n.log.last() + 1}
	n.syncPeers(n.lead.first)
	n.appendOwn(EntryNoop, nil)
	n.openRound()
}

// syncPeers adds peers for new members, to which the entry at index is sent
// first, and marks those of members that this entry removed.
func (n *Node) syncPeers(index uint64) {
	m := n.membership()
	for _, id := range append(slices.Clone(m.Voters), m.Learners...) {
		if p := n.lead.peers[id]; id != n.cfg.ID && (p == nil || p.removed > 0) {
			n.lead.peers[id] = &peer{next: index}
		}
	}
	for id, p := range n.lead.peers {
		if !m.Contains(id) && p.removed == 0 {
			p.removed, p.removedTick = index, n.now
		}
	}
}

// others returns the replicas that are sent messages, in a fixed order.
func (n *Node) others() []ID { return slices.Sorted(maps.Keys(n.lead.peers)) }

func (n *Node) appendOwn(kind EntryKind, data []byte) EntryID {
	e := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	return EntryID{Term: e.Term, Index: e.Index}
}

// openRound sends a heartbeat to every other member.
func (n *Node) openRound() {
	n.lead.heartbeat = 0
	n.lead.round++
	n.lead.sent = append(n.lead.sent, sentRound{round: n.lead.round, tick: n.now})
	for _, id := range n.others() {
		p := n.lead.peers[id]
		n.send(Message{Kind: MsgHeartbeat, To: id, Round: n.lead.round, Commit: min(n.log.commit, p.match)})
	}
}

func (n *Node) tickLeader() {
	window := uint64(n.cfg.ElectionTicks)
	for len(n.lead.sent) > 0 && n.now-n.lead.sent[0].tick > window {
		n.lead.sent = n.lead.sent[1:]
	}
	if tick, ok := n.quorumTick(); n.now-n.lead.since >= window && (!ok || n.now-tick >= window) {
		n.becomeFollower(n.term, "")
		return
	}
	if n.lead.transfer != "" && n.now-n.lead.transferT >= window {
		n.lead.transfer = ""
	}
	for id, p := range n.lead.peers {
		if p.removed > 0 && n.now-p.removedTick >= removedFactor*window {
			delete(n.lead.peers, id)
		}
		if p.state == Snapshotting && p.ackedTick > p.snapshotTick && n.now-p.snapshotTick >= snapshotResendFactor*window {
			p.probe()
		}
	}
	if n.lead.heartbeat++; n.lead.heartbeat >= n.cfg.HeartbeatTicks {
		n.openRound()
	}
}

// quorumTick returns the send tick of the latest round that a quorum of
// voters, this replica included, answered.
func (n *Node) quorumTick() (uint64, bool) {
	ticks := n.quorumOf(func(p *peer) uint64 {
		if p.ackedRound == 0 {
			return 0
		}
		return p.ackedTick + 1
	}, n.now+1)
	return ticks - 1, ticks > 0
}

// quorumRound returns the latest round that a quorum answered.
func (n *Node) quorumRound() uint64 {
	return n.quorumOf(func(p *peer) uint64 { return p.ackedRound }, n.lead.round)
}

// quorumOf returns the highest value that a majority of voters reaches; own
// is this replica's value.
func (n *Node) quorumOf(value func(*peer) uint64, own uint64) uint64 {
	m := n.membership()
	values := make([]uint64, 0, 8)
	for _, id := range m.Voters {
		if p := n.lead.peers[id]; p != nil {
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

// quorumActive reports whether no other replica can have been elected: every
// voter of a quorum refuses votes for ElectionTicks after the round it
// answered was sent.
func (n *Node) quorumActive() bool {
	if n.role != Leader {
		return false
	}
	tick, ok := n.quorumTick()
	return ok && n.now-tick+uint64(n.cfg.quorumMargin()) <= uint64(n.cfg.ElectionTicks)
}

// active reports whether a peer answered a round of the last ElectionTicks.
func (n *Node) active(p *peer) bool {
	return p.ackedRound > 0 && n.now-p.ackedTick < uint64(n.cfg.ElectionTicks)
}

// maybeCommit commits what a quorum has synced, if it is of this term. An
// entry of an earlier term is committed only by a later one, because it can
// still be replaced by a leader that lacks it.
func (n *Node) maybeCommit() {
	index := n.quorumOf(func(p *peer) uint64 { return p.match }, n.log.stable)
	if index > n.log.commit && n.log.matches(index, n.term) {
		n.log.commit = index
	}
}
