package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
)

func status(voters, learners []raft.ID, inactive ...raft.ID) raft.Status {
	st := raft.Status{ID: voters[0], Commit: 10, Membership: raft.Membership{Voters: voters, Learners: learners}, Progress: map[raft.ID]raft.Progress{}}
	for _, id := range append(append([]raft.ID{}, voters...), learners...) {
		st.Progress[id] = raft.Progress{Match: 10, Active: true}
	}
	for _, id := range inactive {
		st.Progress[id] = raft.Progress{Match: 1}
	}
	return st
}

// Guards against a control group that stays below its number of voters, that
// needs an operator after a lost disk, or that replaces a voter during a short
// restart.
func TestMembershipRepairsItself(t *testing.T) {
	is := is.New(t)
	m := fleet.NewMembershipManager(fleet.DefaultMembershipConfig(1))
	voters := []raft.ID{"a/1", "b/1", "c/1"}
	_, due := m.NextChange(clock.At(0), status(voters, nil))
	is.True(!due)
	c, due := m.NextChange(clock.At(0), status(voters[:2], []raft.ID{"c/1"}))
	is.True(due)
	is.Equal(c, raft.MembershipChange{Kind: raft.Promote, ID: "c/1"})
	// The disk of c was lost: a new replica uses its address.
	c, due = m.NextChange(clock.At(0), status(voters, []raft.ID{"c/2"}, "c/1"))
	is.True(due)
	is.Equal(c, raft.MembershipChange{Kind: raft.Remove, ID: "c/1"})
	// c is inactive and the learner d can replace it.
	_, due = m.NextChange(clock.At(time.Second), status(voters, []raft.ID{"d/1"}, "c/1"))
	is.True(!due)
	c, due = m.NextChange(clock.At(4*time.Second), status(voters, []raft.ID{"d/1"}, "c/1"))
	is.True(due)
	is.Equal(c, raft.MembershipChange{Kind: raft.Remove, ID: "c/1"})
	// Without a learner to replace it, the voter is not removed.
	_, due = m.NextChange(clock.At(time.Minute), status(voters, nil, "c/1"))
	is.True(!due)
}
