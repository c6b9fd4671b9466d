package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/raft"
)

// MembershipConfig configures a MembershipManager.
type MembershipConfig struct {
	// Voters is the desired number of voters.
	Voters int
	// ReplaceVoterAfter is the time for which a voter must be silent before a
	// learner that is up to date replaces it. It is longer than a short restart,
	// which must not cost a voter its place in the group.
	ReplaceVoterAfter time.Duration
	// ReplaceStalledAfter is the same for a voter whose process still answers
	// probes, for example while its disk stalls. A longer time gives such a voter
	// time to recover, but leaves the group with one voter less to lose.
	ReplaceStalledAfter time.Duration
	// RemoveLearnerAfter is the time for which a learner must be silent before
	// it is removed.
	RemoveLearnerAfter time.Duration
}

// DefaultMembershipConfig returns the default configuration for a control group
// that tolerates the given number of failed voters.
func DefaultMembershipConfig(failures int) MembershipConfig {
	return MembershipConfig{
		Voters: 2*failures + 1, ReplaceVoterAfter: 2500 * time.Millisecond,
		ReplaceStalledAfter: 30 * time.Second, RemoveLearnerAfter: 10 * time.Second,
	}
}

// ReplicaID returns the id of the replica at a peer address. dataDirID is
// unique for each data directory, so that a replica that lost its data comes
// back under another id.
func ReplicaID(address, dataDirID string) raft.ID { return raft.ID(address + "/" + dataDirID) }

// ReplicaAddress returns the peer address of a replica.
func ReplicaAddress(id raft.ID) string {
	address, _, _ := strings.Cut(string(id), "/")
	return address
}

// MustJoin reports whether a replica has to ask the leader to add it to the group:
// its own log does not list it, or no leader sends to it. Its log may also list it
// although the group has removed it while it was down. What it knows of a leader says
// nothing about its own membership: it may have learned of its removal from that
// leader, or of its addition by an entry that was lost with that leader.
func MustJoin(st raft.Status) bool { return st.Leader == "" || !st.Membership.Contains(st.ID) }

// ProbeResult is what a probe of a silent replica has shown.
type ProbeResult uint8

const (
	// Unreachable means that no connection to the replica's address could be opened.
	Unreachable ProbeResult = iota
	// Connects means that a connection could be opened and that the replica did not
	// answer: its machine is up, and its process is frozen or starts.
	Connects
	// Answers means that the process has answered: the replica is slow or stalled.
	Answers
)

// MembershipManager decides which replicas the leader promotes or removes, so
// that the control group recovers from lost replicas without an operator. It is
// not safe for concurrent use.
//
// A silent voter cannot be told from a lost one with certainty, so a voter that is
// only frozen may lose its place to a learner. It then asks to join again (MustJoin)
// and takes the place of the next lost voter.
type MembershipManager struct {
	cfg MembershipConfig
	// lastHeard, lastAnswer and lastConnect are the times of the last reply of a
	// replica and of the last probes that it answered or that connected.
	lastHeard, lastAnswer, lastConnect map[raft.ID]clock.Reading
}

// NewMembershipManager returns the manager for a leader whose term has just
// started. Each term needs a new one.
func NewMembershipManager(cfg MembershipConfig) *MembershipManager {
	return &MembershipManager{
		cfg: cfg, lastHeard: map[raft.ID]clock.Reading{}, lastAnswer: map[raft.ID]clock.Reading{}, lastConnect: map[raft.ID]clock.Reading{},
	}
}

// Silent returns the members that the leader should probe: those that send no
// replies.
func Silent(st raft.Status) []raft.ID {
	var out []raft.ID
	for _, id := range members(st) {
		if id != st.ID && !st.Progress[id].Responding {
			out = append(out, id)
		}
	}
	return out
}

func members(st raft.Status) []raft.ID {
	return slices.Concat(st.Membership.Voters, st.Membership.Learners)
}

// RecordProbe records the result of a probe of a silent replica.
func (m *MembershipManager) RecordProbe(now clock.Reading, id raft.ID, result ProbeResult) {
	if result >= Connects {
		m.lastConnect[id] = now
	}
	if result == Answers {
		m.lastAnswer[id] = now
	}
}

// NextChange returns the next change of the membership, or false if none is due.
// It must be called regularly while the replica leads, with the replica's status:
// the silence of a replica counts from the first call that lists it or the last
// call that lists it as Responding. The same change is returned until the status
// shows it. Package raft refuses changes that would lose the quorum.
func (m *MembershipManager) NextChange(now clock.Reading, st raft.Status) (raft.MembershipChange, bool) {
	m.recordReplies(now, st)
	if id, ok := m.replacedReplica(st); ok {
		return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
	}
	learner, ok := m.caughtUpLearner(st)
	if ok && len(st.Membership.Voters) < m.cfg.Voters {
		return raft.MembershipChange{Kind: raft.Promote, ID: learner}, true
	}
	if ok {
		if id, found := m.lostVoter(now, st.Membership.Voters); found {
			return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
		}
	}
	for _, id := range st.Membership.Learners {
		if m.silence(now, id) > m.cfg.RemoveLearnerAfter {
			return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
		}
	}
	return raft.MembershipChange{}, false
}

// recordReplies records which members respond, and forgets replicas that are no members:
// one that joins again counts as heard from then on.
func (m *MembershipManager) recordReplies(now clock.Reading, st raft.Status) {
	list := members(st)
	for _, id := range list {
		if _, ok := m.lastHeard[id]; !ok || id == st.ID || st.Progress[id].Responding {
			m.lastHeard[id] = now
		}
	}
	isNoMember := func(id raft.ID, _ clock.Reading) bool { return !slices.Contains(list, id) }
	maps.DeleteFunc(m.lastHeard, isNoMember)
	maps.DeleteFunc(m.lastAnswer, isNoMember)
	maps.DeleteFunc(m.lastConnect, isNoMember)
}

// replacedReplica returns a silent replica whose address an active one uses. Only
// one process runs at an address, so the data of the silent one is lost. It is
// removed at once, without waiting for ReplaceVoterAfter or RemoveLearnerAfter.
func (m *MembershipManager) replacedReplica(st raft.Status) (raft.ID, bool) {
	active := map[string]bool{}
	for _, id := range members(st) {
		if id == st.ID || st.Progress[id].Active {
			active[ReplicaAddress(id)] = true
		}
	}
	for _, id := range Silent(st) {
		if active[ReplicaAddress(id)] {
			return id, true
		}
	}
	return "", false
}

// caughtUpLearner returns an active learner that has all committed entries.
func (m *MembershipManager) caughtUpLearner(st raft.Status) (raft.ID, bool) {
	for _, id := range st.Membership.Learners {
		if p := st.Progress[id]; p.Active && p.Match >= st.Commit {
			return id, true
		}
	}
	return "", false
}

// lostVoter returns the voter that a learner should replace: of those that are silent
// for too long, one to which no connection can be opened before one to which it can,
// and the longest silent one among these.
func (m *MembershipManager) lostVoter(now clock.Reading, voters []raft.ID) (raft.ID, bool) {
	var lost raft.ID
	for _, id := range voters {
		if m.isLost(now, id) && (lost == "" || m.moreLikelyLost(now, id, lost)) {
			lost = id
		}
	}
	return lost, lost != ""
}

// isLost reports whether a voter is silent for so long that it may be replaced.
func (m *MembershipManager) isLost(now clock.Reading, id raft.ID) bool {
	limit := m.cfg.ReplaceVoterAfter
	if m.within(now, m.lastAnswer, id) {
		limit = m.cfg.ReplaceStalledAfter
	}
	return m.silence(now, id) > limit
}

func (m *MembershipManager) moreLikelyLost(now clock.Reading, a, b raft.ID) bool {
	connectsA, connectsB := m.within(now, m.lastConnect, a), m.within(now, m.lastConnect, b)
	if connectsA != connectsB {
		return connectsB
	}
	return m.silence(now, a) > m.silence(now, b)
}

// within reports whether a probe of the replica had a result within the last
// ReplaceVoterAfter.
func (m *MembershipManager) within(now clock.Reading, last map[raft.ID]clock.Reading, id raft.ID) bool {
	at, ok := last[id]
	return ok && now.MonoSince(at) < m.cfg.ReplaceVoterAfter
}

// silence returns the time since the last reply of a replica.
func (m *MembershipManager) silence(now clock.Reading, id raft.ID) time.Duration {
	return now.MonoSince(m.lastHeard[id])
}
