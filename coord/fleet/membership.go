package fleet

import (
	"slices"
	"strings"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/raft"
)

// MembershipConfig tunes the upkeep of the control group.
type MembershipConfig struct {
	// Voters is the wanted number of voters.
	Voters int
	// ReplaceVoterAfter is the silence of a voter after which a waiting learner
	// takes its place. A short restart must not cost a place.
	ReplaceVoterAfter time.Duration
	// RemoveLearnerAfter is the silence after which a learner is removed.
	RemoveLearnerAfter time.Duration
}

// DefaultGroupConfig returns the settings for a group that bears losses.
func DefaultGroupConfig(losses int) MembershipConfig {
	return MembershipConfig{Voters: 2*losses + 1, ReplaceVoterAfter: 2500 * time.Millisecond, RemoveLearnerAfter: 10 * time.Second}
}

// ReplicaID returns the id of the replica at a peer address. birth differs
// for each data folder, so that a replica that lost its data is another one.
func ReplicaID(address, birth string) raft.ID { return raft.ID(address + "/" + birth) }

// ReplicaAddress returns the peer address of a replica.
func ReplicaAddress(id raft.ID) string {
	address, _, _ := strings.Cut(string(id), "/")
	return address
}

// MembershipManager decides how the leader keeps the control group complete without an
// operator. It is not safe for concurrent use.
type MembershipManager struct {
	cfg    MembershipConfig
	active map[raft.ID]clock.Reading
}

// NewMembershipManager returns the upkeep of a leader that has just begun its term.
func NewMembershipManager(cfg MembershipConfig) *MembershipManager {
	return &MembershipManager{cfg: cfg, active: map[raft.ID]clock.Reading{}}
}

// NextChange returns the next change of the membership, if one is due. The log
// refuses changes that would cost the quorum.
func (g *MembershipManager) NextChange(now clock.Reading, st raft.Status) (raft.MembershipChange, bool) {
	for _, id := range slices.Concat(st.Membership.Voters, st.Membership.Learners) {
		if _, ok := g.active[id]; !ok || id == st.ID || st.Progress[id].Active {
			g.active[id] = now
		}
	}
	if id, ok := g.replaced(st); ok {
		return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
	}
	waiting, ok := g.waiting(st)
	if ok && len(st.Membership.Voters) < g.cfg.Voters {
		return raft.MembershipChange{Kind: raft.Promote, ID: waiting}, true
	}
	if ok {
		if id, silent := g.silent(now, st.Membership.Voters, st.ID, g.cfg.ReplaceVoterAfter); silent {
			return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
		}
	}
	if id, silent := g.silent(now, st.Membership.Learners, st.ID, g.cfg.RemoveLearnerAfter); silent {
		return raft.MembershipChange{Kind: raft.Remove, ID: id}, true
	}
	return raft.MembershipChange{}, false
}

// replaced returns a voter whose address a learner has taken over: its data
// is lost, because one process runs at an address.
func (g *MembershipManager) replaced(st raft.Status) (raft.ID, bool) {
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

// waiting returns a learner that has the whole log.
func (g *MembershipManager) waiting(st raft.Status) (raft.ID, bool) {
	for _, id := range st.Membership.Learners {
		if p := st.Progress[id]; p.Active && p.Match >= st.Commit {
			return id, true
		}
	}
	return "", false
}

func (g *MembershipManager) silent(now clock.Reading, ids []raft.ID, self raft.ID, limit time.Duration) (raft.ID, bool) {
	for _, id := range ids {
		if id != self && now.MonoSince(g.active[id]) > limit {
			return id, true
		}
	}
	return "", false
}
