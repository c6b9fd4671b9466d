package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
)

const lease = 4 * time.Second

// simulation runs a State and a Leader in virtual time.
type simulation struct {
	t      *testing.T
	now    time.Duration
	index  uint64
	state  *fleet.State
	leader *fleet.Leader
	// renewals are sent in each step, by process.
	renewals map[string]fleet.Renewal
	// leases are the leases of the last replies, by process.
	leases map[string]time.Duration
}

func newSimulation(t *testing.T) *simulation {
	sim := &simulation{t: t, state: fleet.NewState(), leader: fleet.NewLeader(fleet.DefaultConfig(lease)),
		renewals: map[string]fleet.Renewal{}, leases: map[string]time.Duration{}}
	sim.apply(fleet.Command{ApplyDocument: &fleet.ApplyDocument{ChangeID: "first", Document: &routes.Document{
		Version: 1, Services: []routes.Service{{Name: "s", Sharded: true}},
	}}})
	sim.leader.BecomeLeader(clock.At(0), 1)
	return sim
}

func (sim *simulation) apply(c fleet.Command) fleet.Result {
	sim.index++
	data, err := fleet.EncodeCommand(c)
	if err != nil {
		sim.t.Fatal(err)
	}
	r, err := sim.state.Apply(sim.index, data)
	if err != nil {
		sim.t.Fatal(err)
	}
	return r
}

func (sim *simulation) addMember(process string) {
	sim.renewals[process] = fleet.Renewal{Member: fleet.Member{
		Process: process, DataCentre: "dc-" + process, Target: "t-" + process, Incarnation: 1, Service: "s", Slots: 4, Condition: fleet.Ready,
	}}
}

// run advances the time by d, with renewals and a tick every 100 ms.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += 100 * time.Millisecond {
		for p, r := range sim.renewals {
			sim.leases[p] = sim.leader.Renew(clock.At(sim.now), sim.state, r).Lease
		}
		for _, c := range sim.leader.Tick(clock.At(sim.now), sim.state) {
			sim.apply(c)
		}
	}
}

func (sim *simulation) heldRanges(process string) (n int, fences []uint64) {
	for _, r := range sim.state.Keyspace("s").Ranges {
		if r.Holder.Process == process {
			n++
			fences = append(fences, r.Fence)
		}
	}
	return n, fences
}

// Guards against ranges of a lost target that are assigned to another one before
// its lease has expired, and against ranges that are never reassigned.
func TestLostHolder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	sim.run(4 * time.Second)
	n, _ := sim.heldRanges("a")
	is.True(n > 0)
	delete(sim.renewals, "a")
	sim.run(lease)
	n, _ = sim.heldRanges("a")
	is.True(n > 0)
	sim.run(time.Second)
	n, _ = sim.heldRanges("a")
	is.Equal(n, 0)
}

// Guards against requests that still reach a drained data centre because it keeps
// its ranges when no other one has a target that could take them.
func TestDrainOfTheOnlyDataCentre(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.run(4 * time.Second)
	n, _ := sim.heldRanges("a")
	is.True(n > 0)
	sim.apply(fleet.Command{SetDrain: &fleet.SetDrain{DataCentre: "dc-a", On: true}})
	sim.run(time.Second)
	for _, r := range sim.state.Keyspace("s").Ranges {
		is.True(r.Releasing || r.Holder.IsZero())
	}
}

// Guards against a draining target that must release its ranges although no
// other target could serve them.
func TestLastTargetKeepsRangesWhileDraining(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.run(4 * time.Second)
	a := sim.renewals["a"]
	a.Member.Condition = fleet.Draining
	sim.renewals["a"] = a
	sim.run(time.Second)
	for _, r := range sim.state.Keyspace("s").Ranges {
		is.True(!r.Releasing && !r.Holder.IsZero())
	}
}

// Guards against a lease for a holder whose loss is proposed but not applied yet.
func TestNoLeaseOnceLossIsProposed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	sim.run(4 * time.Second)
	a := sim.renewals["a"]
	delete(sim.renewals, "a")
	for range 200 {
		sim.now += 100 * time.Millisecond
		sim.leader.Renew(clock.At(sim.now), sim.state, sim.renewals["b"])
		if len(sim.leader.Tick(clock.At(sim.now), sim.state)) > 0 {
			break // proposed and not applied yet
		}
	}
	is.Equal(sim.leader.Renew(clock.At(sim.now), sim.state, a).Lease, time.Duration(0))
	sim.renewals["a"] = a
	sim.run(time.Second)
	is.Equal(sim.leases["a"], lease)
}

// Guards against a new leader that declares holders lost because it does not
// know the leases that its predecessor granted.
func TestNewLeaderWaitsOneLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	sim.run(4 * time.Second)
	before, _ := sim.heldRanges("a")
	delete(sim.renewals, "a")
	sim.leader.BecomeFollower()
	sim.leader.BecomeLeader(clock.At(sim.now), 2)
	sim.run(lease)
	after, _ := sim.heldRanges("a")
	is.Equal(after, before)
}

// Guards against waiting for the lease of a target that has certainly ended,
// and against a fence that does not rise for its next incarnation.
func TestEndedHolder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	sim.run(4 * time.Second)
	_, fences := sim.heldRanges("a")
	r := sim.renewals["a"]
	r.EndedHolders = []ranges.Holder{r.Member.Holder()}
	r.Member.Incarnation = 2
	sim.renewals["a"] = r
	sim.run(300 * time.Millisecond)
	for _, keyRange := range sim.state.Keyspace("s").Ranges {
		is.True(keyRange.Holder.Process != "a" || keyRange.Holder.Incarnation == 2)
	}
	_, next := sim.heldRanges("a")
	if len(next) > 0 {
		is.True(next[0] > fences[len(fences)-1])
	}
}

// Guards against targets of a drained data centre that keep their ranges, and
// against a lost handover token.
func TestDrainedDataCentre(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	sim.run(4 * time.Second)
	sim.apply(fleet.Command{SetDrain: &fleet.SetDrain{DataCentre: "dc-a", On: true}})
	sim.run(200 * time.Millisecond)
	for _, keyRange := range sim.state.Keyspace("s").Ranges {
		is.Equal(keyRange.Releasing, keyRange.Holder.Process == "a")
	}
	r := sim.renewals["a"]
	for _, keyRange := range sim.state.Keyspace("s").Ranges {
		if keyRange.Releasing {
			r.Released = append(r.Released, fleet.ReleasedRange{Range: keyRange, HandoverToken: "h"})
		}
	}
	sim.renewals["a"] = r
	sim.run(200 * time.Millisecond)
	n, _ := sim.heldRanges("a")
	is.Equal(n, 0)
	got := 0
	for _, keyRange := range sim.state.Keyspace("s").Ranges {
		if keyRange.HandoverToken == "h" {
			got++
		}
	}
	is.True(got > 0)
}

// Guards against an accepted change that is refused when it is sent again, also
// after a snapshot was restored, and against two changes that are accepted on the
// same base version.
func TestDocumentChanges(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	change := func(id string, base, version uint64) fleet.ChangeStatus {
		return sim.apply(fleet.Command{ApplyDocument: &fleet.ApplyDocument{ChangeID: id, BaseVersion: base,
			Document: &routes.Document{Version: version}}}).Status
	}
	is.Equal(change("a", 1, 5), fleet.Accepted)
	is.Equal(change("b", 1, 5), fleet.Conflict)
	is.Equal(change("a", 1, 5), fleet.Accepted)
	is.Equal(change("c", 5, 5), fleet.Refused)
	is.Equal(change("d", 5, 9), fleet.Accepted)
	is.Equal(change("a", 1, 5), fleet.Accepted)
	is.Equal(sim.state.Version(), uint64(9))
	data, err := sim.state.Snapshot()
	is.NoErr(err)
	restored, err := fleet.Restore(data)
	is.NoErr(err)
	is.True(restored.Accepted("a"))
	is.Equal(restored.Keyspace("s").Revision, sim.state.Keyspace("s").Revision)
}

// Guards against waiting for the leases of earlier targets after a power failure
// of all instances: the restarted processes can't report them as ended.
func TestLaterIncarnationReplacesHolder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.addMember("a")
	sim.addMember("b")
	sim.run(4 * time.Second)
	sim.leader.BecomeFollower()
	sim.leader.BecomeLeader(clock.At(sim.now), 2)
	for _, p := range []string{"a", "b"} {
		r := sim.renewals[p]
		r.Member.Incarnation = 2
		sim.renewals[p] = r
	}
	sim.run(300 * time.Millisecond)
	for _, p := range []string{"a", "b"} {
		n, _ := sim.heldRanges(p)
		is.True(n > 0)
	}
	for _, keyRange := range sim.state.Keyspace("s").Ranges {
		is.Equal(keyRange.Holder.Incarnation, int64(2))
	}
}

// Guards against a weight that does not reach the directory or the plan of key ranges,
// and against one that changes the directory without need.
func TestWeightOfMember(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	for _, p := range []string{"a", "b", "c"} {
		sim.addMember(p)
	}
	r := sim.renewals["a"]
	r.Member.Weight = 1
	sim.renewals["a"] = r
	sim.run(5 * time.Second)
	is.Equal(sim.leader.Members()[0].Weight, 1)
	a, _ := sim.heldRanges("a")
	b, _ := sim.heldRanges("b")
	is.True(a > 0 && a < b/4)
	before := sim.leader.DirectoryRevision()
	sim.run(time.Second)
	is.Equal(sim.leader.DirectoryRevision(), before)
}
