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

// benchSizes are the numbers of members of the benchmarks' clusters. Each member has
// 20 shards.
var benchSizes = []int{10, 100, 1_000, 3_300}

// newLargeCluster returns a fixture with n members in ten data centres, which own
// all units.
func newLargeCluster(b *testing.B, n int) *fixture {
	f := &fixture{t: b, state: NewState(), renewals: map[table.MemberID]*Renewal{}, replies: map[table.MemberID]RenewalReply{}}
	f.controller = NewController(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	f.controller.BecomeLeader(at(0))
	doc := config.Document{Automation: config.AllAutomation()}
	dcs := []string{}
	for i := range 10 {
		dcs = append(dcs, fmt.Sprint("dc", i))
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: dcs[i]})
	}
	doc.Services = []config.Service{{Name: "s", Keyed: true, DataCentres: dcs, ShardCount: uint32(20 * n)}}
	if res := f.applyDocument(doc); !res.Accepted() {
		b.Fatal(res)
	}
	for i := range n {
		id := table.MemberID(fmt.Sprintf("m%04d", i))
		m := Member{ID: id, Incarnation: 1, DataCentre: dcs[i%10], PeerAddr: "10.0.0.1:1", Target: &Target{Service: "s", Slots: 12}}
		f.apply(Command{RegisterMember: &RegisterMember{Member: m}})
		f.renewals[id] = &Renewal{ID: id, Incarnation: 1, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr, Target: m.Target}
	}
	f.apply(Command{ClearBarrier: &ClearBarrier{Name: "s", Revision: 1}})
	f.now = time.Millisecond
	f.renewAll()
	f.applyAll(f.controller.Tick(at(f.now), f.state))
	if len(f.state.unowned) > 0 {
		b.Fatal("units without owner")
	}
	return f
}

// renewAll sends one renewal of every member with the newest revisions.
func (f *fixture) renewAll() {
	for _, n := range f.renewals {
		n.TableRevision, n.ConfigRevision, n.DirectoryRevision = f.state.Table().Revision(), 1, f.state.DirectoryRevision()
		f.controller.Renew(at(f.now), f.state, *n)
	}
}

func eachSize(b *testing.B, run func(b *testing.B, f *fixture, n int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, newLargeCluster(b, n), n) })
	}
}

// BenchmarkRenewal measures a renewal of a member that lacks no changes.
func BenchmarkRenewal(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fixture, n int) {
		f.renewAll()
		one := *f.renewals["m0005"]
		one.TableRevision, one.DirectoryRevision = f.state.Table().Revision(), f.state.DirectoryRevision()
		b.ReportAllocs()
		for b.Loop() {
			f.controller.Renew(at(f.now), f.state, one)
		}
	})
}

// BenchmarkTick measures a tick of the leader without changes of the state.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fixture, n int) {
		for i := 0; b.Loop(); i++ {
			if i%20 == 0 {
				b.StopTimer()
				f.renewAll()
				b.StartTimer()
			}
			f.now += 50 * time.Millisecond
			f.controller.Tick(at(f.now), f.state)
		}
	})
}

// BenchmarkDelta measures the computation of a table delta for ten moved units, and
// reports the JSON sizes of the delta and of the whole table.
func BenchmarkDelta(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fixture, n int) {
		from := f.state.Table().Revision()
		for i, u := range sortedUnits(f.state.unitsOf("m0003").owned)[:10] {
			e := f.entry(u)
			to := table.MemberID(fmt.Sprintf("m%04d", 4+i%5))
			f.apply(Command{BeginMove: &BeginMove{Unit: u, Epoch: e.Epoch, To: to}})
			f.apply(Command{FinishMove: &FinishMove{Unit: u, Epoch: e.Epoch}})
		}
		delta, _ := json.Marshal(f.state.TableDelta(from))
		full, _ := json.Marshal(f.state.Table().Snapshot())
		for b.Loop() {
			f.state.deltas.merged = nil
			f.state.TableDelta(from)
		}
		b.ReportMetric(float64(len(delta)), "delta-bytes")
		b.ReportMetric(float64(len(full)), "full-bytes")
	})
}

// BenchmarkApplyMove measures Apply for the start and the cancellation of one move.
func BenchmarkApplyMove(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fixture, n int) {
		u := f.servedUnit("m0003").Unit
		for b.Loop() {
			e := f.entry(u)
			f.index++
			f.state.Apply(f.index, Command{BeginMove: &BeginMove{Unit: u, Epoch: e.Epoch, To: "m0004"}})
			f.state.Apply(f.index, Command{CancelMove: &CancelMove{Unit: u, Epoch: e.Epoch}})
		}
	})
}

// BenchmarkSnapshot measures a snapshot and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fixture, n int) {
		var data []byte
		for b.Loop() {
			data, _ = f.state.Snapshot()
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
}

// BenchmarkLoss measures the tick that detects the loss of members and plans new
// owners, and the application of its command, in ms per loss.
func BenchmarkLoss(b *testing.B) {
	for _, n := range benchSizes {
		for _, lost := range []int{1, 40, 330} {
			if lost >= n {
				continue
			}
			b.Run(fmt.Sprintf("%d-of-%d", lost, n), func(b *testing.B) {
				f := newLargeCluster(b, n)
				snap, err := f.state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				var tick, apply time.Duration
				for b.Loop() {
					b.StopTimer()
					t, a := f.measureLoss(b, snap, lost)
					tick, apply = tick+t, apply+a
					b.StartTimer()
				}
				b.ReportMetric(float64(tick.Microseconds())/1000/float64(b.N), "tick-ms")
				b.ReportMetric(float64(apply.Microseconds())/1000/float64(b.N), "apply-ms")
			})
		}
	}
}

// measureLoss restores a snapshot, renews all members except lost ones, and returns
// the times of the tick that declares the loss and of applying its commands.
func (f *fixture) measureLoss(b *testing.B, snap []byte, lost int) (tick, apply time.Duration) {
	s, err := Restore(snap)
	if err != nil {
		b.Fatal(err)
	}
	f.state = s
	f.controller.BecomeLeader(at(0))
	f.controller.Tick(at(0), s)
	f.now = 2 * time.Second
	stopped := map[table.MemberID]bool{}
	for _, id := range sortedIDs(f.renewals)[:lost] {
		stopped[id] = true
	}
	for id, n := range f.renewals {
		if !stopped[id] {
			n.TableRevision, n.DirectoryRevision = s.Table().Revision(), s.DirectoryRevision()
			f.controller.Renew(at(f.now), s, *n)
		}
	}
	start := time.Now()
	commands := f.controller.Tick(at(f.now), s)
	tick = time.Since(start)
	start = time.Now()
	for _, c := range commands {
		f.index++
		s.Apply(f.index, c)
	}
	apply = time.Since(start)
	if len(s.unowned) > 0 || len(s.unitsOf("m0000").owned) > 0 {
		b.Fatal("the loss left units without owner")
	}
	return tick, apply
}
