package fleet

import (
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
	// ReplaceVoterAfter is the time for which a voter must be inactive before a
	// learner that is up to date replaces it. It is longer than a short restart,
	// which must not cost a voter its place in the group.
	ReplaceVoterAfter time.Duration
	// RemoveLearnerAfter is the time for which a learner must be inactive before
	// it is removed.
	RemoveLearnerAfter time.Duration
}

// DefaultMembershipConfig returns the default configuration for a control group
// that tolerates the given number of failed voters.
func DefaultMembershipConfig(failures int) MembershipConfig {
	return MembershipConfig{Voters: 2*failures + 1, ReplaceVoterAfter: 2500 * time.Millisecond, RemoveLearnerAfter: 10 * time.Second}
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

// MembershipManager decides which replicas the leader promotes or removes, so
// that the control group recovers from lost replicas without an operator. It is
// not safe for concurrent use.
type MembershipManager struct {
	cfg        MembershipConfig
	lastActive map[raft.ID]clock.Reading
}

// NewMembershipManager returns the manager for a leader whose term has just
// started. Each term needs a new one.
func NewMembershipManager(cfg MembershipConfig) *MembershipManager {
	return &MembershipManager{cfg: cfg, lastActive: map[raft.ID]clock.Reading{}}
}

// NextChange returns the next change of the membership, or false if none is due.
// It must be called regularly while the replica leads, with the replica's status:
// the inactivity of a replica counts from the first call that lists it or the last
// call that lists it as active. The same change is returned until the status shows
// it. Package raft refuses changes that would lose the quorum.
func (m *MembershipManager) NextChange(now clock.Reading, st raft.Status) (raft.MembershipChange, bool) {
	for _, id := range slices.Concat(st.Membership.Voters, st.Membership.Learners) {
		if _, ok := m.lastActive[id]; !ok || id == st.ID || st.Progress[id].Active {
			m.lastActive[id] = now
		}
	}
	if id, ok := m.replacedReplica(st); ok {
		return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
	}
	learner, ok := m.caughtUpLearner(st)
	if ok && len(st.Membership.Voters) < m.cfg.Voters {
		return raft.MembershipChange{Kind: raft.Promote, ID: learner}, true
	}
	if ok {
		if id, found := m.inactiveReplica(now, st.Membership.Voters, st.ID, m.cfg.ReplaceVoterAfter); found {
			return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
		}
	}
	if id, found := m.inactiveReplica(now, st.Membership.Learners, st.ID, m.cfg.RemoveLearnerAfter); found {
		return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
	}
	return raft.MembershipChange{}, false
}

// replacedReplica returns an inactive replica whose address an active learner
// uses. Only one process runs at an address, so the data of that replica is lost.
// It is removed at once, without waiting for ReplaceVoterAfter or
// RemoveLearnerAfter.
func (m *MembershipManager) replacedReplica(st raft.Status) (raft.ID, bool) {
	for _, learner := range st.Membership.Learners {
		for _, id := range slices.Concat(st.Membership.Voters, st.Membership.Learners) {
			if id != learner && id != st.ID && st.Progress[learner].Active && !st.Progress[id].Active &&
				ReplicaAddress(id) == ReplicaAddress(learner) {
				return id, true
			}
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

// inactiveReplica returns one of ids, other than self, that has been inactive
// for longer than limit.
func (m *MembershipManager) inactiveReplica(now clock.Reading, ids []raft.ID, self raft.ID, limit time.Duration) (raft.ID, bool) {
	for _, id := range ids {
		if id != self && now.MonoSince(m.lastActive[id]) > limit {
			return id, true
		}
	}
	return "", false
}
