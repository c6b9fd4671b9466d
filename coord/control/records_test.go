package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/table"
)

// checkCopies verifies that every payment unit has one in-sync copy in another
// data centre.
func checkCopies(is *is.I, f *fixture) {
	is.Helper()
	f.state.Table().EachInKeyspace("pay", func(e *table.Entry) bool {
		owner, _ := f.state.Member(e.Owner)
		is.Equal(len(e.Copies), 1)
		is.Equal(len(e.SyncingCopies), 0)
		m, _ := f.state.Member(e.Copies[0])
		is.True(m.State == MemberActive && m.DataCentre != owner.DataCentre)
		return true
	})
}

// Guards against a failover to a member without a record copy while members with a
// copy have capacity, and against copies that are not replaced or are in the owner's
// data centre.
func TestFailoverPrefersCopies(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	doc := testDocument()
	doc.Services[1].ShardCount = 64
	f.applyDocument(doc)
	for i, dc := range []string{"a", "b", "c", "a"} {
		f.addMember(fmt.Sprint("p", i), dc, "pay")
	}
	f.run(40 * time.Second)
	checkCopies(is, f)
	before := f.state.Table()
	lost := sortedUnits(f.state.unitsOf("p1").owned)
	delete(f.renewals, "p1")
	f.runUntilLost("p1")
	for _, u := range lost {
		e := f.entry(u)
		is.Equal(e.Sources[0], before.Entry(u).Copies[0])
		is.True(!e.RecordsLost && e.Epoch > before.Entry(u).Epoch)
		copied := before.Entry(u).Copies[0]
		is.True(e.Owner == copied || f.servedUnits()[copied] >= 23) // already 1.10 times the mean of 64 units
	}
	f.run(3 * time.Second)
	checkCopies(is, f)
	e := f.servedUnit("p0")
	same := Command{ChangeCopies: &ChangeCopies{Unit: e.Unit, Epoch: e.Epoch, Join: []table.MemberID{"p3"}}}
	is.Equal(f.apply(same).Refusal, RefusedStale) // p3 is in p0's data centre
}

// Guards against payments that run twice after all idempotency records of their unit
// were lost, and against a unit whose payments are answered as unknown for ever.
func TestRecordsLost(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	var u table.Entry
	f.state.Table().EachInKeyspace("pay", func(e *table.Entry) bool { u = *e; return false })
	delete(f.renewals, u.Owner)
	delete(f.renewals, u.Copies[0])
	f.runUntilLost(u.Owner)
	now := f.entry(u.Unit)
	is.True(now.RecordsLost && now.Phase == table.Serving && len(now.Sources) == 0)
	f.run(time.Minute)
	is.True(f.entry(u.Unit).RecordsLost)
	is.Equal(f.apply(Command{ClearRecordsLost: &ClearRecordsLost{Unit: u.Unit, Since: 1}}).Refusal, RefusedStale)
	f.controller.Tick(at(f.now), f.state)
	cleared := false
	for _, c := range f.controller.Tick(at(f.now+24*time.Hour), f.state) {
		if c.ClearRecordsLost != nil {
			cleared = cleared || f.apply(c).Accepted()
		}
	}
	is.True(cleared)
	is.True(!f.entry(u.Unit).RecordsLost)
}

// Guards against a new owner that counts as having the idempotency records before it
// has read them: all its sources are lost first.
func TestSourceLostBeforeOwnerRead(t *testing.T) {
	for _, read := range []bool{false, true} {
		is := is.New(t)
		f := newTestCluster(t)
		u := f.servedUnit("p0")
		to := table.MemberID("p1")
		if u.HasCopy(to) {
			to = "p2"
		}
		is.True(f.apply(Command{BeginMove: &BeginMove{Unit: u.Unit, Epoch: u.Epoch, To: to}}).Accepted())
		is.True(f.apply(Command{FinishMove: &FinishMove{Unit: u.Unit, Epoch: u.Epoch}}).Accepted())
		now := f.entry(u.Unit)
		is.Equal(now.Owner, to)
		is.Equal(now.Sources, []table.MemberID{u.Copies[0], "p0"})
		if read {
			is.True(f.apply(Command{CopySynced: &CopySynced{Unit: u.Unit, Epoch: now.Epoch, Copy: to}}).Accepted())
		}
		f.declareLost("p0", u.Copies[0])
		is.Equal(f.entry(u.Unit).RecordsLost, !read)
	}
}
