package raft

// ProgressState is the way in which a leader sends entries to a replica.
type ProgressState uint8

const (
	// Probing sends one append at a time until the logs are known to match.
	Probing ProgressState = iota
	// Replicating sends appends without waiting for each reply.
	Replicating
	// Snapshotting waits for the reply to a snapshot.
	Snapshotting
)

// inflightAppend is an append that awaits its reply.
type inflightAppend struct {
	last  uint64 // index of its last entry
	bytes int    // data of its entries
	round uint64 // last heartbeat round opened before it was sent
}

// followerProgress is the leader's view of one replica.
type followerProgress struct {
	state ProgressState
	match uint64 // last index known to be synced at the replica
	next  uint64 // next index to send

	pending []inflightAppend // Replicating
	paused  bool             // Probing: the probe is not answered yet
	probed  uint64           // Probing: last round opened before the probe

	snapshotIndex uint64 // Snapshotting: index of the snapshot
	snapshotTick  uint64 // Snapshotting: tick at which it was sent

	ackedRound uint64 // highest heartbeat round answered
	ackedTick  uint64 // tick at which that round was sent

	replied     bool   // a reply has arrived in this term
	repliedTick uint64 // tick at which the last one arrived

	removedIndex uint64 // index of the entry that removed it; 0 for a member
	removedTick  uint64
	notifyRound  uint64 // last round opened before the replica could learn that its removal is committed
}

// probe returns to probing, from the entry after the last one that matches.
func (p *followerProgress) probe() {
	p.state, p.next, p.paused, p.pending = Probing, p.match+1, false, nil
}

// accepted records that the replica has synced all entries up to index.
func (p *followerProgress) accepted(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	switch p.state {
	case Snapshotting:
		if p.match < p.snapshotIndex {
			return
		}
		fallthrough
	case Probing:
		p.state, p.next, p.paused, p.pending = Replicating, p.match+1, false, nil
	case Replicating:
		answered := 0
		for answered < len(p.pending) && p.pending[answered].last <= p.match {
			answered++
		}
		p.pending = p.pending[answered:]
	}
}

// heartbeatAcked handles the replica's reply to a heartbeat round. If an append that
// was sent before that round has no reply yet, the append or its reply counts as
// lost, and the leader sends it again.
func (p *followerProgress) heartbeatAcked(round uint64) {
	switch p.state {
	case Probing:
		if p.paused && p.probed < round {
			p.paused = false
		}
	case Replicating:
		if len(p.pending) > 0 && p.pending[0].round < round {
			p.probe()
		}
	}
}

// pendingBytes returns the entry data in the appends that await their replies.
func (p *followerProgress) pendingBytes() int {
	size := 0
	for _, a := range p.pending {
		size += a.bytes
	}
	return size
}

// canDiscard reports whether a removed replica has learned that its removal is
// committed: it has answered a round that was opened after it could learn of that.
// The first call at which it can have learned of it records the last round in
// notifyRound. Until canDiscard returns true, but for at most removedFactor times
// ElectionTicks, the leader sends the replica entries, although it counts for no
// quorum: a replica that has not learned of its removal requests votes for ever.
func (p *followerProgress) canDiscard(commit, round uint64) bool {
	if p.removedIndex == 0 || p.match < p.removedIndex || commit < p.removedIndex {
		return false
	}
	if p.notifyRound == 0 {
		p.notifyRound = round
	}
	return p.ackedRound > p.notifyRound
}
