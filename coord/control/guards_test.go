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

// Guards against a grant to a member whose loss may still be committed: the
// proposal seems lost, the member comes back, and the old proposal is applied.
func TestLossInFlightIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	back := *r.renew["m1"]
	var lost []Command
	at := r.now
	for end := r.now + 3*time.Second; len(lost) == 0 && at < end; at += 50 * time.Millisecond {
		for _, id := range sortedIDs(r.renew) {
			if id != "m1" {
				r.c.Renew(clock.At(at), r.s, *r.renew[id])
			}
		}
		for _, c := range r.c.Tick(clock.At(at), r.s) {
			if c.DeclareMembersLost != nil {
				lost = append(lost, c)
			}
		}
	}
	is.Equal(len(lost), 1)
	is.Equal(len(lost[0].DeclareMembersLost.Members), 1)
	reply, _ := r.c.Renew(clock.At(at+5*time.Second), r.s, back)
	is.Equal(reply.Status, RenewalPending)
	r.c.Tick(clock.At(at+5*time.Second), r.s)
	reply, _ = r.c.Renew(clock.At(at+6*time.Second), r.s, back)
	is.Equal(reply.Status, RenewalPending)
	r.now = at + 6*time.Second
	r.apply(lost[0])
	reply, _ = r.c.Renew(clock.At(at+7*time.Second), r.s, back)
	is.Equal(reply.Status, RenewalFenced)
	r.c.BecomeFollower()
	reply, commands := r.c.Renew(clock.At(at+8*time.Second), r.s, *r.renew["m2"])
	is.Equal(reply.Status, RenewalPending) // a follower grants nothing
	is.Equal(len(commands), 0)
}

// Guards against a second owner after a restart: the old incarnation may be a
// frozen process that still holds its lease.
func TestNewIncarnationWaitsForTheLease(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	again := *r.renew["m1"]
	again.Incarnation, again.TableRevision, again.ConfigRevision = 2, 0, 0
	reply, commands := r.c.Renew(clock.At(r.now+time.Second), r.s, again)
	is.Equal(reply.Status, RenewalPending)
	is.Equal(len(commands), 0)
	is.True(reply.Table.ToRevision == r.s.Table().Revision() && reply.Config != nil && reply.Directory.Full)
	is.Equal(r.apply(Command{RegisterMember: &RegisterMember{Member: Member{ID: "m1", Incarnation: 2, DataCentre: "b"}}}).Refusal, RefusedNotReady)
	at := r.now + 1300*time.Millisecond
	_, commands = r.c.Renew(clock.At(at), r.s, again)
	is.Equal(len(commands), 2)
	is.True(commands[0].DeclareMembersLost != nil && commands[1].RegisterMember != nil)
	r.now = at
	r.applyAll(commands)
	reply, _ = r.c.Renew(clock.At(at), r.s, again)
	is.Equal(reply.Status, RenewalGranted)
	reply, _ = r.c.Renew(clock.At(at), r.s, *r.renew["m1"])
	is.Equal(reply.Status, RenewalFenced) // the replaced incarnation
	old := Member{ID: "m1", Incarnation: 1, DataCentre: "b"}
	r.lose("m1")
	is.Equal(r.apply(Command{RegisterMember: &RegisterMember{Member: old}}).Refusal, RefusedStale)
}

// Guards against a grant by a leader that has not applied what the member has.
func TestMemberAheadOfLeaderGetsNoLease(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	ahead := *r.renew["m1"]
	ahead.TableRevision = r.s.Table().Revision() + 1
	reply, _ := r.c.Renew(clock.At(r.now), r.s, ahead)
	is.Equal(reply.Status, RenewalPending)
}

// Guards against a loss declared by a new leader while a lease that the
// earlier leader granted may still run.
func TestNewLeaderWaitsAWholeLease(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	start := r.now
	r.c.BecomeLeader(clock.At(start))
	found := false
	for d := time.Duration(0); d <= 1300*time.Millisecond; d += 50 * time.Millisecond {
		for _, c := range r.c.Tick(clock.At(start+d), r.s) {
			found = found || c.DeclareMembersLost != nil
		}
		is.True(!found || d > 1100*time.Millisecond)
	}
	is.True(found)
}

// Guards against a late release that ends a later move: cancelling a move and
// losing its receiver both have to raise the epoch.
func TestCancelledMoveIgnoresItsRelease(t *testing.T) {
	for _, name := range []string{"cancel", "next lost"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := cluster(t)
			before := r.unitOf("m1")
			u := before.Unit
			is.True(r.apply(Command{BeginMove: &BeginMove{Unit: u, Epoch: before.Epoch, To: "m2"}}).Accepted())
			moving := r.entry(u)
			is.Equal(moving.Phase, table.Moving)
			if name == "cancel" {
				r.apply(Command{CancelMove: &CancelMove{Unit: u, Epoch: moving.Epoch}})
			} else {
				r.lose("m2")
			}
			is.Equal(r.entry(u).Owner, table.MemberID("m1"))
			is.Equal(r.entry(u).Phase, table.Serving)
			is.True(r.entry(u).Epoch > moving.Epoch)
			is.True(r.apply(Command{BeginMove: &BeginMove{Unit: u, Epoch: r.entry(u).Epoch, To: "m3"}}).Accepted())
			is.Equal(r.apply(Command{FinishMove: &FinishMove{Unit: u, Epoch: moving.Epoch}}).Refusal, RefusedStale)
			is.Equal(r.entry(u).Owner, table.MemberID("m1"))
		})
	}
}

// Guards against a unit that stays without service because its owner renews
// but never releases it.
func TestMoveTimesOut(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	u := r.unitOf("m1")
	is.True(r.apply(Command{BeginMove: &BeginMove{Unit: u.Unit, Epoch: u.Epoch, To: "m2"}}).Accepted())
	r.c.Tick(at(r.now), r.s)
	for _, c := range r.c.Tick(at(r.now+time.Minute), r.s) {
		if c.CancelMove != nil {
			is.True(r.apply(c).Accepted())
		}
	}
	is.Equal(r.entry(u.Unit).Phase, table.Serving)
	is.Equal(r.entry(u.Unit).Owner, table.MemberID("m1"))
}

// Guards against a unit that is split or merged while it changes hands, which
// would give a key two owners.
func TestSplitAndMergeNeedOneServingOwner(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	hash := shard.Hash("hot")
	whole := r.s.Table().Lookup("clubs", hash)
	other := table.MemberID("m0")
	if whole.Owner == other {
		other = "m1"
	}
	split := Command{SplitKey: &SplitKey{Keyspace: "clubs", Hash: hash}}
	r.apply(Command{BeginMove: &BeginMove{Unit: whole.Unit, Epoch: whole.Epoch, To: other}})
	is.Equal(r.apply(split).Refusal, RefusedNotReady)
	r.apply(Command{CancelMove: &CancelMove{Unit: whole.Unit, Epoch: whole.Epoch}})
	is.True(r.apply(split).Accepted())
	key := *r.s.Table().Lookup("clubs", hash)
	is.True(key.Unit.IsSplit() && key.Owner == whole.Owner && key.Epoch > whole.Epoch)
	is.True(r.apply(Command{BeginMove: &BeginMove{Unit: key.Unit, Epoch: key.Epoch, To: other}}).Accepted())
	merge := Command{MergeKey: &MergeKey{Unit: key.Unit}}
	is.Equal(r.apply(merge).Refusal, RefusedNotReady) // moving
	is.True(r.apply(Command{FinishMove: &FinishMove{Unit: key.Unit, Epoch: key.Epoch}}).Accepted())
	is.Equal(r.apply(merge).Refusal, RefusedNotReady) // another owner
	now := r.entry(whole.Unit)
	r.apply(Command{BeginMove: &BeginMove{Unit: whole.Unit, Epoch: now.Epoch, To: other}})
	r.apply(Command{FinishMove: &FinishMove{Unit: whole.Unit, Epoch: now.Epoch}})
	top := max(r.entry(whole.Unit).Epoch, r.entry(key.Unit).Epoch)
	is.True(r.apply(merge).Accepted())
	is.True(r.s.Table().Entry(key.Unit) == nil)
	is.True(r.entry(whole.Unit).Epoch > top)
}

// Guards against a member that still serves a key space of an earlier document
// while it is forgotten, replaced, or its units are served elsewhere.
func TestBarrierHoldsUntilMembersCaughtUp(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	r.apply(Command{SetMemberState: &SetMemberState{ID: "p1", Incarnation: 1, State: MemberDraining, Leaving: true}})
	r.run(10 * time.Second) // p1 holds nothing any more
	is.True(!r.s.needed("p1"))
	doc := testDocument()
	doc.Services = doc.Services[1:]
	r.document(doc)
	is.Equal(len(r.s.Barriers()), 1)
	is.Equal(r.apply(Command{RemoveMember: &RemoveMember{ID: "p1", Incarnation: 1}}).Refusal, RefusedNotReady)
	next := Member{ID: "p1", Incarnation: 2, DataCentre: "b"}
	is.Equal(r.apply(Command{RegisterMember: &RegisterMember{Member: next}}).Refusal, RefusedNotReady)
	r.document(testDocument())
	r.c.Tick(clock.At(r.now), r.s)
	is.Equal(len(r.s.Barriers()), 1) // no member has the new document yet
	is.Equal(r.apply(Command{Assign: &Assign{Assignments: []Assignment{{Unit: shard.Unit{Keyspace: "clubs"}, Epoch: r.entry(shard.Unit{Keyspace: "clubs"}).Epoch, To: "m0"}}}}).Refusal, RefusedStale)
	r.run(time.Second)
	is.Equal(len(r.s.Barriers()), 0)
	is.True(r.entry(shard.Unit{Keyspace: "clubs"}).Owner != "")
}

// Guards against a returning member that resumes its units before the barrier
// of a changed key rule has ended.
func TestReturnDoesNotPassABarrier(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	doc := testDocument()
	rules := []config.KeyRule{{Name: "all", ShardCount: 4}, {Name: "x", Prefix: "x", ShardCount: 4}}
	doc.Services[0].Rules = rules
	r.document(doc)
	r.run(time.Second)
	doc.Services[0].Rules = rules[:1]
	u := shard.Unit{Keyspace: "clubs:all"}
	owner := r.entry(u).Owner
	r.document(doc) // clubs:all takes over the keys of clubs:x
	is.Equal(r.entry(u).Phase, table.Unowned)
	is.Equal(r.entry(u).Owner, owner)
	m, _ := r.s.Member(owner)
	r.apply(Command{DeclareMembersLost: &DeclareMembersLost{Members: []MemberIncarnation{{owner, m.Incarnation}}, KeepUnits: true}})
	m.Incarnation = 7
	is.True(r.apply(Command{RegisterMember: &RegisterMember{Member: m}}).Accepted())
	is.Equal(r.entry(u).Owner, owner)
	is.Equal(r.entry(u).Phase, table.Unowned)
}

// Guards against a faulty checker: it has to see a violation that is there.
func TestCheckerSeesViolations(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 2)
	s.applyDocument(simDocument(0, true, true))
	s.runUntil(3 * time.Second)
	is.Equal(len(s.check.finish(s)), 0)
	c := newChecker()
	c.record("a0", interval{0, 10, "m0", 1})
	c.record("a0", interval{9, 20, "m1", 1})
	c.overlaps("a0")
	is.Equal(len(c.faults), 1)
	c = newChecker()
	c.record("a0", interval{0, 10, "m0", 1})
	c.given["a0"] = []interval{{5, 20, "m1", 1}}
	c.overlaps("a0")
	is.Equal(len(c.faults), 1)
	c = newChecker()
	c.record("a0", interval{0, 10, "m0", 1})
	c.record("a0", interval{10, 20, "m1", 1})
	c.given["a0"] = []interval{{0, 10, "m0", 1}, {10, 20, "m1", 1}}
	c.overlaps("a0")
	is.Equal(len(c.faults), 0)
}
