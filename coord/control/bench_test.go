package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/table"
)

// benchSizes are members with 20 shards each.
var benchSizes = []int{10, 100, 1_000, 3_300}

// large returns a cluster of n members in ten data centres that owns all units.
func large(b *testing.B, n int) *rig {
	r := &rig{t: b, s: NewState(), renew: map[table.MemberID]*Renewal{}, replies: map[table.MemberID]RenewalReply{}}
	r.c = NewController(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	r.c.BecomeLeader(at(0))
	doc := config.Document{Automation: config.AllAutomation()}
	dcs := []string{}
	for i := range 10 {
		dcs = append(dcs, fmt.Sprint("dc", i))
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: dcs[i]})
	}
	doc.Services = []config.Service{{Name: "s", Keyed: true, DataCentres: dcs, ShardCount: uint32(20 * n)}}
	if res := r.document(doc); !res.Accepted() {
		b.Fatal(res)
	}
	for i := range n {
		id := table.MemberID(fmt.Sprintf("m%04d", i))
		m := Member{ID: id, Incarnation: 1, DataCentre: dcs[i%10], PeerAddr: "10.0.0.1:1", Target: &Target{Service: "s", Slots: 12}}
		r.apply(Command{RegisterMember: &RegisterMember{Member: m}})
		r.renew[id] = &Renewal{ID: id, Incarnation: 1, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr, Target: m.Target}
	}
	r.apply(Command{ClearBarrier: &ClearBarrier{Name: "s", Revision: 1}})
	r.now = time.Millisecond
	r.renewAll()
	r.applyAll(r.c.Tick(at(r.now), r.s))
	if len(r.s.unowned) > 0 {
		b.Fatal("units without owner")
	}
	return r
}

// renewAll lets every member renew with the newest revisions.
func (r *rig) renewAll() {
	for _, n := range r.renew {
		n.TableRevision, n.ConfigRevision, n.DirectoryRevision = r.s.Table().Revision(), 1, r.s.DirectoryRevision()
		r.c.Renew(at(r.now), r.s, *n)
	}
}

func eachSize(b *testing.B, f func(b *testing.B, r *rig, n int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, large(b, n), n) })
	}
}

// BenchmarkRenewal is one renewal without a change.
func BenchmarkRenewal(b *testing.B) {
	eachSize(b, func(b *testing.B, r *rig, n int) {
		r.renewAll()
		one := *r.renew["m0005"]
		one.TableRevision, one.DirectoryRevision = r.s.Table().Revision(), r.s.DirectoryRevision()
		b.ReportAllocs()
		for b.Loop() {
			r.c.Renew(at(r.now), r.s, one)
		}
	})
}

// BenchmarkTick is one tick of the leader without a change.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, r *rig, n int) {
		for i := 0; b.Loop(); i++ {
			if i%20 == 0 {
				b.StopTimer()
				r.renewAll()
				b.StartTimer()
			}
			r.now += 50 * time.Millisecond
			r.c.Tick(at(r.now), r.s)
		}
	})
}

// BenchmarkDelta is the cost of a table delta over ten moved units, and its
// size as JSON, next to the size of the whole table.
func BenchmarkDelta(b *testing.B) {
	eachSize(b, func(b *testing.B, r *rig, n int) {
		from := r.s.Table().Revision()
		for i, u := range sortedUnits(r.s.held("m0003").owned)[:10] {
			e := r.entry(u)
			to := table.MemberID(fmt.Sprintf("m%04d", 4+i%5))
			r.apply(Command{BeginMove: &BeginMove{Unit: u, Epoch: e.Epoch, To: to}})
			r.apply(Command{FinishMove: &FinishMove{Unit: u, Epoch: e.Epoch}})
		}
		delta, _ := json.Marshal(r.s.TableDelta(from))
		full, _ := json.Marshal(r.s.Table().Snapshot())
		for b.Loop() {
			r.s.deltas.merged = nil
			r.s.TableDelta(from)
		}
		b.ReportMetric(float64(len(delta)), "delta-bytes")
		b.ReportMetric(float64(len(full)), "full-bytes")
	})
}

// BenchmarkApplyMove is the cost of one small command on the table.
func BenchmarkApplyMove(b *testing.B) {
	eachSize(b, func(b *testing.B, r *rig, n int) {
		u := r.unitOf("m0003").Unit
		for b.Loop() {
			e := r.entry(u)
			r.index++
			r.s.Apply(r.index, Command{BeginMove: &BeginMove{Unit: u, Epoch: e.Epoch, To: "m0004"}})
			r.s.Apply(r.index, Command{CancelMove: &CancelMove{Unit: u, Epoch: e.Epoch}})
		}
	})
}

// BenchmarkSnapshot is the cost and size of a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, r *rig, n int) {
		var data []byte
		for b.Loop() {
			data, _ = r.s.Snapshot()
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
}

// BenchmarkLoss is the cost of noticing the loss of members, planning new
// owners and applying the command, as ms per loss.
func BenchmarkLoss(b *testing.B) {
	for _, n := range benchSizes {
		for _, lost := range []int{1, 40, 330} {
			if lost >= n {
				continue
			}
			b.Run(fmt.Sprintf("%d-of-%d", lost, n), func(b *testing.B) {
				r := large(b, n)
				snap, err := r.s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				var tick, apply time.Duration
				for b.Loop() {
					b.StopTimer()
					t, a := r.loseSome(b, snap, lost)
					tick, apply = tick+t, apply+a
					b.StartTimer()
				}
				b.ReportMetric(float64(tick.Microseconds())/1000/float64(b.N), "tick-ms")
				b.ReportMetric(float64(apply.Microseconds())/1000/float64(b.N), "apply-ms")
			})
		}
	}
}

// loseSome restores a snapshot, lets all but some members renew, and returns
// the cost of the tick that declares the loss and of applying it.
func (r *rig) loseSome(b *testing.B, snap []byte, lost int) (tick, apply time.Duration) {
	s, err := Restore(snap)
	if err != nil {
		b.Fatal(err)
	}
	r.s = s
	r.c.BecomeLeader(at(0))
	r.c.Tick(at(0), s)
	r.now = 2 * time.Second
	gone := map[table.MemberID]bool{}
	for _, id := range sortedIDs(r.renew)[:lost] {
		gone[id] = true
	}
	for id, n := range r.renew {
		if !gone[id] {
			n.TableRevision, n.DirectoryRevision = s.Table().Revision(), s.DirectoryRevision()
			r.c.Renew(at(r.now), s, *n)
		}
	}
	start := time.Now()
	commands := r.c.Tick(at(r.now), s)
	tick = time.Since(start)
	start = time.Now()
	for _, c := range commands {
		r.index++
		s.Apply(r.index, c)
	}
	apply = time.Since(start)
	if len(s.unowned) > 0 || len(s.held("m0000").owned) > 0 {
		b.Fatal("the loss left units without owner")
	}
	return tick, apply
}
