package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Guards against a lease for a member whose loss may still be committed: the
// proposal times out, the member renews again, and then the old proposal is applied.
func TestPendingLossBlocksGrants(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	back := *f.renewals["m1"]
	var lost []Command
	at := f.now
	for end := f.now + 3*time.Second; len(lost) == 0 && at < end; at += 50 * time.Millisecond {
		for _, id := range sortedIDs(f.renewals) {
			if id != "m1" {
				f.controller.Renew(clock.At(at), f.state, *f.renewals[id])
			}
		}
		for _, c := range f.controller.Tick(clock.At(at), f.state) {
			if c.DeclareMembersLost != nil {
				lost = append(lost, c)
			}
		}
	}
	is.Equal(len(lost), 1)
	is.Equal(len(lost[0].DeclareMembersLost.Members), 1)
	reply, _ := f.controller.Renew(clock.At(at+5*time.Second), f.state, back)
	is.Equal(reply.Status, RenewalPending)
	f.controller.Tick(clock.At(at+5*time.Second), f.state)
	reply, _ = f.controller.Renew(clock.At(at+6*time.Second), f.state, back)
	is.Equal(reply.Status, RenewalPending)
	f.now = at + 6*time.Second
	f.apply(lost[0])
	reply, _ = f.controller.Renew(clock.At(at+7*time.Second), f.state, back)
	is.Equal(reply.Status, RenewalFenced)
	f.controller.BecomeFollower()
	reply, commands := f.controller.Renew(clock.At(at+8*time.Second), f.state, *f.renewals["m2"])
	is.Equal(reply.Status, RenewalPending) // a follower grants nothing
	is.Equal(len(commands), 0)
}

// Guards against two owners after a restart: the old incarnation may be a frozen
// process whose lease is still valid.
func TestNewIncarnationWaitsForTheLease(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	restarted := *f.renewals["m1"]
	restarted.Incarnation, restarted.TableRevision, restarted.ConfigRevision = 2, 0, 0
	reply, commands := f.controller.Renew(clock.At(f.now+time.Second), f.state, restarted)
	is.Equal(reply.Status, RenewalPending)
	is.Equal(len(commands), 0)
	is.True(reply.Table.ToRevision == f.state.Table().Revision() && reply.Config != nil && reply.Directory.Full)
	is.Equal(f.apply(Command{RegisterMember: &RegisterMember{Member: Member{ID: "m1", Incarnation: 2, DataCentre: "b"}}}).Refusal, RefusedNotReady)
	at := f.now + 1300*time.Millisecond
	_, commands = f.controller.Renew(clock.At(at), f.state, restarted)
	is.Equal(len(commands), 2)
	is.True(commands[0].DeclareMembersLost != nil && commands[1].RegisterMember != nil)
	f.now = at
	f.applyAll(commands)
	reply, _ = f.controller.Renew(clock.At(at), f.state, restarted)
	is.Equal(reply.Status, RenewalGranted)
	reply, _ = f.controller.Renew(clock.At(at), f.state, *f.renewals["m1"])
	is.Equal(reply.Status, RenewalFenced) // the replaced incarnation
	old := Member{ID: "m1", Incarnation: 1, DataCentre: "b"}
	f.declareLost("m1")
	is.Equal(f.apply(Command{RegisterMember: &RegisterMember{Member: old}}).Refusal, RefusedStale)
}

// Guards against a lease from a leader whose table is older than the member's.
func TestMemberAheadOfLeaderGetsNoLease(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	ahead := *f.renewals["m1"]
	ahead.TableRevision = f.state.Table().Revision() + 1
	reply, _ := f.controller.Renew(clock.At(f.now), f.state, ahead)
	is.Equal(reply.Status, RenewalPending)
}

// Guards against a new leader that declares a loss while a lease from the earlier
// leader may still be valid.
func TestNewLeaderWaitsAWholeLease(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	start := f.now
	f.controller.BecomeLeader(clock.At(start))
	found := false
	for d := time.Duration(0); d <= 1300*time.Millisecond; d += 50 * time.Millisecond {
		for _, c := range f.controller.Tick(clock.At(start+d), f.state) {
			found = found || c.DeclareMembersLost != nil
		}
		is.True(!found || d > 1100*time.Millisecond)
	}
	is.True(found)
}

// Guards against a late release of a cancelled move that finishes a later move of
// the unit: the epoch must rise when a move is cancelled or its receiver is lost.
func TestCancelledMoveIgnoresLateRelease(t *testing.T) {
	for _, name := range []string{"cancel", "receiver lost"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			before := f.servedUnit("m1")
			u := before.Unit
			is.True(f.apply(Command{BeginMove: &BeginMove{Unit: u, Epoch: before.Epoch, To: "m2"}}).Accepted())
			moving := f.entry(u)
			is.Equal(moving.Phase, table.Moving)
			if name == "cancel" {
				f.apply(Command{CancelMove: &CancelMove{Unit: u, Epoch: moving.Epoch}})
			} else {
				f.declareLost("m2")
			}
			is.Equal(f.entry(u).Owner, table.MemberID("m1"))
			is.Equal(f.entry(u).Phase, table.Serving)
			is.True(f.entry(u).Epoch > moving.Epoch)
			is.True(f.apply(Command{BeginMove: &BeginMove{Unit: u, Epoch: f.entry(u).Epoch, To: "m3"}}).Accepted())
			is.Equal(f.apply(Command{FinishMove: &FinishMove{Unit: u, Epoch: moving.Epoch}}).Refusal, RefusedStale)
			is.Equal(f.entry(u).Owner, table.MemberID("m1"))
		})
	}
}

// Guards against a unit that stays unserved because its owner renews but never
// releases it.
func TestMoveTimesOut(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	u := f.servedUnit("m1")
	is.True(f.apply(Command{BeginMove: &BeginMove{Unit: u.Unit, Epoch: u.Epoch, To: "m2"}}).Accepted())
	f.controller.Tick(at(f.now), f.state)
	for _, c := range f.controller.Tick(at(f.now+time.Minute), f.state) {
		if c.CancelMove != nil {
			is.True(f.apply(c).Accepted())
		}
	}
	is.Equal(f.entry(u.Unit).Phase, table.Serving)
	is.Equal(f.entry(u.Unit).Owner, table.MemberID("m1"))
}

// Guards against two owners of a key after a unit is split or merged during a move.
func TestSplitAndMergeNeedOneServingOwner(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	hash := shard.Hash("hot")
	parent := f.state.Table().Lookup("clubs", hash)
	other := table.MemberID("m0")
	if parent.Owner == other {
		other = "m1"
	}
	split := Command{SplitKey: &SplitKey{Keyspace: "clubs", Hash: hash}}
	f.apply(Command{BeginMove: &BeginMove{Unit: parent.Unit, Epoch: parent.Epoch, To: other}})
	is.Equal(f.apply(split).Refusal, RefusedNotReady)
	f.apply(Command{CancelMove: &CancelMove{Unit: parent.Unit, Epoch: parent.Epoch}})
	is.True(f.apply(split).Accepted())
	key := *f.state.Table().Lookup("clubs", hash)
	is.True(key.Unit.IsSplit() && key.Owner == parent.Owner && key.Epoch > parent.Epoch)
	is.True(f.apply(Command{BeginMove: &BeginMove{Unit: key.Unit, Epoch: key.Epoch, To: other}}).Accepted())
	merge := Command{MergeKey: &MergeKey{Unit: key.Unit}}
	is.Equal(f.apply(merge).Refusal, RefusedNotReady) // moving
	is.True(f.apply(Command{FinishMove: &FinishMove{Unit: key.Unit, Epoch: key.Epoch}}).Accepted())
	is.Equal(f.apply(merge).Refusal, RefusedNotReady) // another owner
	now := f.entry(parent.Unit)
	f.apply(Command{BeginMove: &BeginMove{Unit: parent.Unit, Epoch: now.Epoch, To: other}})
	f.apply(Command{FinishMove: &FinishMove{Unit: parent.Unit, Epoch: now.Epoch}})
	top := max(f.entry(parent.Unit).Epoch, f.entry(key.Unit).Epoch)
	is.True(f.apply(merge).Accepted())
	is.True(f.state.Table().Entry(key.Unit) == nil)
	is.True(f.entry(parent.Unit).Epoch > top)
}

// Guards against a member that is removed or replaced while it may still serve a key
// space of an earlier document, and against units of a key space that are assigned
// before all members have the new document.
func TestBarrierHoldsUntilMembersCaughtUp(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.apply(Command{SetMemberState: &SetMemberState{ID: "p1", Incarnation: 1, State: MemberDraining, Leaving: true}})
	f.run(10 * time.Second) // p1 owns no units and no copies
	is.True(!f.state.needed("p1"))
	doc := testDocument()
	doc.Services = doc.Services[1:]
	f.applyDocument(doc)
	is.Equal(len(f.state.Barriers()), 1)
	is.Equal(f.apply(Command{RemoveMember: &RemoveMember{ID: "p1", Incarnation: 1}}).Refusal, RefusedNotReady)
	next := Member{ID: "p1", Incarnation: 2, DataCentre: "b"}
	is.Equal(f.apply(Command{RegisterMember: &RegisterMember{Member: next}}).Refusal, RefusedNotReady)
	f.applyDocument(testDocument())
	f.controller.Tick(clock.At(f.now), f.state)
	is.Equal(len(f.state.Barriers()), 1) // no member has the new document yet
	is.Equal(f.apply(Command{Assign: &Assign{Assignments: []Assignment{{Unit: shard.Unit{Keyspace: "clubs"}, Epoch: f.entry(shard.Unit{Keyspace: "clubs"}).Epoch, To: "m0"}}}}).Refusal, RefusedStale)
	f.run(time.Second)
	is.Equal(len(f.state.Barriers()), 0)
	is.True(f.entry(shard.Unit{Keyspace: "clubs"}).Owner != "")
}

// Guards against a returning member that serves its units before the barrier of a
// changed key rule is cleared.
func TestReturningMemberWaitsForBarrier(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	doc := testDocument()
	rules := []config.KeyRule{{Name: "all", ShardCount: 4}, {Name: "x", Prefix: "x", ShardCount: 4}}
	doc.Services[0].Rules = rules
	f.applyDocument(doc)
	f.run(time.Second)
	doc.Services[0].Rules = rules[:1]
	u := shard.Unit{Keyspace: "clubs:all"}
	owner := f.entry(u).Owner
	f.applyDocument(doc) // clubs:all takes over the keys of clubs:x
	is.Equal(f.entry(u).Phase, table.Unowned)
	is.Equal(f.entry(u).Owner, owner)
	m, _ := f.state.Member(owner)
	f.apply(Command{DeclareMembersLost: &DeclareMembersLost{Members: []MemberIncarnation{{owner, m.Incarnation}}, KeepUnits: true}})
	m.Incarnation = 7
	is.True(f.apply(Command{RegisterMember: &RegisterMember{Member: m}}).Accepted())
	is.Equal(f.entry(u).Owner, owner)
	is.Equal(f.entry(u).Phase, table.Unowned)
}

// Guards against a checker of the simulation that misses violations or reports
// allowed cases.
func TestCheckerFindsViolations(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 2)
	s.applyDocument(simDocument(0, true, true))
	s.runUntil(3 * time.Second)
	is.Equal(len(s.check.finish(s)), 0)
	c := newChecker()
	c.record("a0", servingInterval{0, 10, "m0", 1})
	c.record("a0", servingInterval{9, 20, "m1", 1})
	c.checkOverlaps("a0")
	is.Equal(len(c.faults), 1)
	c = newChecker()
	c.record("a0", servingInterval{0, 10, "m0", 1})
	c.assigned["a0"] = []servingInterval{{5, 20, "m1", 1}}
	c.checkOverlaps("a0")
	is.Equal(len(c.faults), 1)
	c = newChecker()
	c.record("a0", servingInterval{0, 10, "m0", 1})
	c.record("a0", servingInterval{10, 20, "m1", 1})
	c.assigned["a0"] = []servingInterval{{0, 10, "m0", 1}, {10, 20, "m1", 1}}
	c.checkOverlaps("a0")
	is.Equal(len(c.faults), 0)
}
