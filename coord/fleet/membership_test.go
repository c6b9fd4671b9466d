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
		st.Progress[id] = raft.Progress{Match: 10, Active: true, Responding: true}
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

// Guards against a voter that was only frozen and stays outside of the group for good,
// because it knows a leader, while a lost voter keeps its place.
func TestFrozenVoterReturns(t *testing.T) {
	for seed := range uint64(20) {
		g := newSimGroup(seed)
		g.frozenMachines = true
		g.run(3 * time.Second)
		ids := g.ids()
		frozen := ids[seed%4]
		g.replicas[frozen].frozenUntil = g.tick + 160 // 4 s
		delete(g.replicas, ids[4])
		g.run(time.Second)
		g.startNew("")
		g.run(7 * time.Second)
		if !g.complete() {
			t.Errorf("seed %d: voters %v", seed, g.leader().Membership.Voters)
		}
	}
}

// Guards against replicas that do not find their way back into the group, in whatever
// order they are frozen, slowed, restarted, lost or replaced, and against lost ones that
// keep their place.
func TestGroupRepairsItself(t *testing.T) {
	for seed := range uint64(300) {
		g := newSimGroup(seed)
		g.frozenMachines = seed%2 == 0
		g.run(3 * time.Second)
		for range 12 {
			g.disturb()
			g.run(time.Duration(g.rng.IntN(4000)) * time.Millisecond)
		}
		for _, r := range g.replicas {
			r.slow, r.stalled, r.frozenUntil = false, false, 0
		}
		g.run(50 * time.Second) // longer than ReplaceStalledAfter and RemoveLearnerAfter
		if !g.complete() {
			t.Errorf("seed %d: voters %v, running %v", seed, g.leader().Membership.Voters, g.ids())
		}
	}
}

// disturb makes one change to a replica. At most one replica is lost until the group is
// complete again, so that it never loses its quorum for good.
func (g *simGroup) disturb() {
	ids := g.ids()
	id := ids[g.rng.IntN(len(ids))]
	r := g.replicas[id]
	switch kind := g.rng.IntN(7); {
	case kind < 2:
		r.frozenUntil = g.tick + g.rng.IntN(600)
	case kind == 2:
		r.slow = !r.slow
	case kind == 3:
		r.stalled = !r.stalled
	case kind == 4:
		g.restart(id)
	case kind == 5 && g.complete():
		delete(g.replicas, id)
		g.startNew("")
	case kind == 6 && g.complete(): // its disk is lost
		delete(g.replicas, id)
		g.startNew(fleet.ReplicaAddress(id))
	}
}

// Guards against a slow voter that loses its place, and against the removal of a
// frozen voter in place of a lost one.
func TestSlowVoterKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	voters := []raft.ID{"a/1", "b/1", "c/1", "d/1", "e/1"}
	// Answers of b come too late for a heartbeat round.
	m := fleet.NewMembershipManager(fleet.DefaultMembershipConfig(2))
	slow := status(voters, []raft.ID{"f/1"}, "b/1")
	slow.Progress["b/1"] = raft.Progress{Match: 1, Responding: true}
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		_, due := m.NextChange(clock.At(at), slow)
		is.True(!due)
	}
	// The disk of b stalls, and its process answers probes.
	m = fleet.NewMembershipManager(fleet.DefaultMembershipConfig(2))
	stalled := status(voters, []raft.ID{"f/1"}, "b/1")
	for at := time.Duration(0); at < 25*time.Second; at += time.Second {
		_, due := m.NextChange(clock.At(at), stalled)
		is.True(!due)
		m.RecordProbe(clock.At(at), "b/1", fleet.Answers)
	}
	c, due := m.NextChange(clock.At(31*time.Second), stalled)
	is.True(due) // it is stalled for too long
	is.Equal(c, raft.MembershipChange{Kind: raft.Remove, ID: "b/1"})
	// The machine of b accepts connections, and that of c does not.
	m = fleet.NewMembershipManager(fleet.DefaultMembershipConfig(2))
	both := status(voters, []raft.ID{"f/1"}, "b/1", "c/1")
	_, _ = m.NextChange(clock.At(0), both)
	m.RecordProbe(clock.At(time.Second), "b/1", fleet.Connects)
	m.RecordProbe(clock.At(time.Second), "c/1", fleet.Unreachable)
	c, due = m.NextChange(clock.At(3*time.Second), both)
	is.True(due)
	is.Equal(c, raft.MembershipChange{Kind: raft.Remove, ID: "c/1"})
	// c is silent for longer than b.
	m = fleet.NewMembershipManager(fleet.DefaultMembershipConfig(2))
	_, _ = m.NextChange(clock.At(0), status(voters, []raft.ID{"f/1"}, "c/1"))
	_, _ = m.NextChange(clock.At(time.Second), status(voters, []raft.ID{"f/1"}, "c/1"))
	_, due = m.NextChange(clock.At(2*time.Second), both)
	is.True(!due)
	c, due = m.NextChange(clock.At(10*time.Second), both)
	is.True(due)
	is.Equal(c, raft.MembershipChange{Kind: raft.Remove, ID: "c/1"})
}

// Guards against a lost voter that keeps its place because its successor at the same
// address became a voter at once.
func TestReplacedVoterGivesUpItsPlace(t *testing.T) {
	is := is.New(t)
	m := fleet.NewMembershipManager(fleet.DefaultMembershipConfig(2))
	c, due := m.NextChange(clock.At(0), status([]raft.ID{"a/1", "b/1", "c/1", "c/2", "d/1"}, nil, "c/1"))
	is.True(due)
	is.Equal(c, raft.MembershipChange{Kind: raft.Remove, ID: "c/1"})
}

// Guards against a replica that is removed as soon as it joins again, because it was silent
// for long before.
func TestReturningReplicaIsNotSilent(t *testing.T) {
	is := is.New(t)
	m := fleet.NewMembershipManager(fleet.DefaultMembershipConfig(1))
	voters := []raft.ID{"a/1", "b/1", "c/1"}
	_, _ = m.NextChange(clock.At(0), status(voters, []raft.ID{"d/1"}))
	_, _ = m.NextChange(clock.At(time.Minute), status(voters, nil)) // d was removed
	_, due := m.NextChange(clock.At(2*time.Minute), status(voters, []raft.ID{"d/1"}, "d/1"))
	is.True(!due)
}
