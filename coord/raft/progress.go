package raft

// ProgressState tells how a leader sends to a replica.
type ProgressState uint8

const (
	// Probing sends one append at a time until the logs are known to match.
	Probing ProgressState = iota
	// Replicating sends appends without waiting for each answer.
	Replicating
	// Snapshotting waits for the answer to a snapshot.
	Snapshotting
)

// inflight is an append that is not answered yet.
type inflight struct {
	last  uint64 // index of its last entry
	round uint64 // last heartbeat round opened before it was sent
}

// peer is the leader's view of one replica.
type peer struct {
	state ProgressState
	match uint64 // last index known to be synced there
	next  uint64 // next index to send

	pending []inflight // Replicating
	paused  bool       // Probing: the probe is not answered yet
	probed  uint64     // Probing: last round opened before the probe

	snapshotIndex uint64 // Snapshotting
	snapshotTick  uint64

	ackedRound uint64 // highest heartbeat round answered
	ackedTick  uint64 // tick at which that round was sent

	removed     uint64 // index of the entry that removed it; 0 for a member
	removedTick uint64
	told        uint64 // last round opened before the removal could be told
}

func (p *peer) probe() {
	p.state, p.next, p.paused, p.pending = Probing, p.match+1, false, nil
}

// accepted records that the replica holds everything up to index.
func (p *peer) accepted(index uint64) {
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

// heartbeatAnswered resends what was sent before a round that is answered,
// but is not answered itself: the append or its reply was lost.
func (p *peer) heartbeatAnswered(round uint64) {
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

// mayDrop reports whether a removed replica was told that its removal is
// committed. Until then it is sent entries, without counting for anything: a
// replica that does not know of its removal asks for votes for ever.
func (p *peer) mayDrop(commit, round uint64) bool {
	if p.removed == 0 || p.match < p.removed || commit < p.removed {
		return false
	}
	if p.told == 0 {
		p.told = round
	}
	return p.ackedRound > p.told
}
