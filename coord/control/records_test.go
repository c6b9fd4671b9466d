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
func checkCopies(is *is.I, r *rig) {
	is.Helper()
	r.s.Table().EachInKeyspace("pay", func(e *table.Entry) bool {
		owner, _ := r.s.Member(e.Owner)
		is.Equal(len(e.Copies), 1)
		is.Equal(len(e.SyncingCopies), 0)
		m, _ := r.s.Member(e.Copies[0])
		is.True(m.State == MemberActive && m.DataCentre != owner.DataCentre)
		return true
	})
}

// Guards against a failover to a member without the records, and against
// copies that are not replaced or that share the owner's data centre.
func TestFailoverPrefersCopies(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	doc := testDocument()
	doc.Services[1].ShardCount = 64
	r.document(doc)
	for i, dc := range []string{"a", "b", "c", "a"} {
		r.join(fmt.Sprint("p", i), dc, "pay")
	}
	r.run(40 * time.Second)
	checkCopies(is, r)
	before := r.s.Table()
	lost := sortedUnits(r.s.held("p1").owned)
	delete(r.renew, "p1")
	r.untilLost("p1")
	for _, u := range lost {
		e := r.entry(u)
		is.Equal(e.Sources[0], before.Entry(u).Copies[0])
		is.True(!e.RecordsLost && e.Epoch > before.Entry(u).Epoch)
		copied := before.Entry(u).Copies[0]
		is.True(e.Owner == copied || r.ownedBy()[copied] >= 23) // 1.10 times the mean of 64 units: no room
	}
	r.run(3 * time.Second)
	checkCopies(is, r)
	e := r.unitOf("p0")
	same := Command{ChangeCopies: &ChangeCopies{Unit: e.Unit, Epoch: e.Epoch, Join: []table.MemberID{"p3"}}}
	is.Equal(r.apply(same).Refusal, RefusedStale) // p3 is in p0's data centre
}

// Guards against payments that run again after all their records were lost,
// and against a unit that answers unknown for ever.
func TestRecordsLost(t *testing.T) {
	is := is.New(t)
	r := cluster(t)
	var u table.Entry
	r.s.Table().EachInKeyspace("pay", func(e *table.Entry) bool { u = *e; return false })
	delete(r.renew, u.Owner)
	delete(r.renew, u.Copies[0])
	r.untilLost(u.Owner)
	now := r.entry(u.Unit)
	is.True(now.RecordsLost && now.Phase == table.Serving && len(now.Sources) == 0)
	r.run(time.Minute)
	is.True(r.entry(u.Unit).RecordsLost)
	is.Equal(r.apply(Command{ClearRecordsLost: &ClearRecordsLost{Unit: u.Unit, Since: 1}}).Refusal, RefusedStale)
	r.c.Tick(at(r.now), r.s)
	cleared := false
	for _, c := range r.c.Tick(at(r.now+24*time.Hour), r.s) {
		if c.ClearRecordsLost != nil {
			cleared = cleared || r.apply(c).Accepted()
		}
	}
	is.True(cleared)
	is.True(!r.entry(u.Unit).RecordsLost)
}

// Guards against an owner that counts as holding the records before it has
// read them: its only source is lost first.
func TestSourceLostBeforeOwnerRead(t *testing.T) {
	for _, read := range []bool{false, true} {
		is := is.New(t)
		r := cluster(t)
		u := r.unitOf("p0")
		to := table.MemberID("p1")
		if u.HasCopy(to) {
			to = "p2"
		}
		is.True(r.apply(Command{BeginMove: &BeginMove{Unit: u.Unit, Epoch: u.Epoch, To: to}}).Accepted())
		is.True(r.apply(Command{FinishMove: &FinishMove{Unit: u.Unit, Epoch: u.Epoch}}).Accepted())
		now := r.entry(u.Unit)
		is.Equal(now.Owner, to)
		is.Equal(now.Sources, []table.MemberID{u.Copies[0], "p0"})
		if read {
			is.True(r.apply(Command{CopySynced: &CopySynced{Unit: u.Unit, Epoch: now.Epoch, Copy: to}}).Accepted())
		}
		r.lose("p0", u.Copies[0])
		is.Equal(r.entry(u.Unit).RecordsLost, !read)
	}
}
