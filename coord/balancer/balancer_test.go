package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

const usualLatency = 5 * time.Millisecond

func newBalancer(targets int) *Balancer {
	lb := New(Config{DataCentre: "a"}, rand.New(rand.NewPCG(1, 1)))
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: table.MemberID(fmt.Sprint("t", i)), DataCentre: string(rune('a' + i)), Slots: 12})
	}
	lb.SetTargets(clock.At(0), list)
	return lb
}

// serve sends n requests one after the other, with the latency of the picked
// target, and returns the number of picks by target.
func serve(lb *Balancer, now *time.Duration, n int, latency func(table.MemberID) time.Duration) map[table.MemberID]int {
	picks := map[table.MemberID]int{}
	for range n {
		id, _ := lb.Pick(clock.At(*now))
		picks[id]++
		lb.Started(clock.At(*now), id)
		d := latency(id)
		*now += d
		lb.Finished(clock.At(*now), id, Result{Latency: d})
	}
	return picks
}

func constantLatency(table.MemberID) time.Duration { return usualLatency }

// Guards against requests to targets that are draining or were tried before.
func TestPickExcludes(t *testing.T) {
	is := is.New(t)
	lb := newBalancer(3)
	lb.SetTargets(clock.At(0), []Target{{ID: "t0", Draining: true}, {ID: "t1", Slots: 1}, {ID: "t2", Slots: 1}})
	for range 100 {
		id, ok := lb.Pick(clock.At(0), "t1")
		is.True(ok)
		is.Equal(id, table.MemberID("t2"))
	}
	_, ok := lb.Pick(clock.At(0), "t1", "t2")
	is.True(!ok)
}

// Guards against requests to another data centre without need, and against a
// target that is overloaded because it is in the same data centre.
func TestNearTargetPreferredOnlyIfEqual(t *testing.T) {
	is := is.New(t)
	lb := newBalancer(3)
	counts := map[table.MemberID]int{}
	for i := range 30 {
		id, _ := lb.Pick(clock.At(0))
		is.True(i > 0 || id == "t0") // of equal targets, the one in the same data centre
		lb.Started(clock.At(0), id)
		counts[id]++
	}
	is.Equal(counts, map[table.MemberID]int{"t0": 10, "t1": 10, "t2": 10})
}

// Guards against a target that has stopped answering and gets requests until the
// first ones time out, and against a suspect that is reinstated without enough
// normal answers.
func TestStoppedTargetIsSuspected(t *testing.T) {
	is := is.New(t)
	lb, now := newBalancer(3), time.Duration(0)
	serve(lb, &now, 100, constantLatency)
	for range 3 {
		lb.Started(clock.At(now), "t1")
	}
	now += 10 * usualLatency
	suspects := lb.Suspects(clock.At(now))
	is.Equal(len(suspects), 1)
	is.Equal(suspects[0].ID, table.MemberID("t1"))
	is.Equal(suspects[0].Overdue, 3)
	is.True(suspects[0].Applied)
	is.Equal(serve(lb, &now, 1000, constantLatency)["t1"], 0) // no probe while requests are overdue
	for range 3 {
		lb.Finished(clock.At(now), "t1", Result{Latency: 10 * usualLatency, Kind: Cancelled})
	}
	from := now
	probes := serve(lb, &now, 1000, func(id table.MemberID) time.Duration {
		if id == "t1" {
			return 10 * usualLatency
		}
		return usualLatency
	})["t1"]
	is.True(probes > 0)
	now += time.Minute
	id, _ := lb.PickWithoutProbe(clock.At(now), "t0")
	is.Equal(id, table.MemberID("t2")) // a probe is due, but not with a request that can't be hedged
	id, _ = lb.Pick(clock.At(now), "t0")
	is.Equal(id, table.MemberID("t1"))
	is.True(probes <= 1000/DefaultMinPicksBetweenProbes+int((now-from)/DefaultMaxProbeInterval)) // few probes, all of them slow
	is.Equal(len(lb.Suspects(clock.At(now))), 1)
	lb.Started(clock.At(now), "t1")
	now += 20 * usualLatency
	for range 3 {
		lb.Started(clock.At(now-usualLatency), "t1")
		lb.Finished(clock.At(now), "t1", Result{Latency: usualLatency})
	}
	is.Equal(lb.Counters().Reinstated, uint64(0)) // one request is still overdue
	lb.Finished(clock.At(now), "t1", Result{Latency: 20 * usualLatency})
	serve(lb, &now, 300, constantLatency)
	is.Equal(len(lb.Suspects(clock.At(now))), 0) // reinstated after normal probes
}

// Guards against a suspect that stays idle while all other targets have queues.
func TestCrowdedServiceUsesSuspects(t *testing.T) {
	is := is.New(t)
	lb, now := newBalancer(3), time.Duration(0)
	serve(lb, &now, 100, constantLatency)
	for range int(DefaultSuspectThreshold) {
		lb.Finished(clock.At(now), "t0", Result{Kind: Failed})
	}
	picks := map[table.MemberID]int{}
	for range 100 {
		id, _ := lb.Pick(clock.At(now))
		lb.Started(clock.At(now), id)
		picks[id]++
	}
	is.True(picks["t0"] > 0 && picks["t0"] < 20) // only once the others have queues
}

// Guards against a service without targets when all of them are suspects, and
// against ejection although the operator has disabled it.
func TestEjectionLeavesATarget(t *testing.T) {
	is := is.New(t)
	lb, now := newBalancer(3), time.Duration(0)
	serve(lb, &now, 100, constantLatency)
	stop := func(ids ...table.MemberID) {
		for _, id := range ids {
			for range 6 {
				lb.Started(clock.At(now), id)
			}
		}
		now += 10 * usualLatency
	}
	stop("t0")
	lb.SetEjection(false)
	is.True(!lb.Suspects(clock.At(now))[0].Applied)
	for range 6 {
		lb.Finished(clock.At(now), "t0", Result{Latency: 10 * usualLatency, Kind: Cancelled})
	}
	id, _ := lb.Pick(clock.At(now))
	is.Equal(id, table.MemberID("t0")) // same data centre and idle
	lb.SetEjection(true)
	id, _ = lb.Pick(clock.At(now))
	is.True(id != "t0")
	stop("t1", "t2")
	is.Equal(len(lb.Suspects(clock.At(now))), 3)
	_, ok := lb.Pick(clock.At(now))
	is.True(ok)
}

// Guards against a gate that refuses at once, looks idle and attracts all requests.
func TestRefusingTargetGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	lb, refused := newBalancer(3), 0
	for i := range 300 {
		now := clock.At(time.Duration(i) * 100 * time.Microsecond)
		id, _ := lb.Pick(now)
		lb.Started(now, id)
		if id == "t0" {
			refused++
			lb.Finished(now, id, Result{Kind: Refused, Load: &GateLoad{Running: 1, Limit: 1}})
		}
	}
	is.True(refused < 100) // fewer than an equal share
}

// Guards against memory allocations for each request.
func TestNoAllocation(t *testing.T) {
	is := is.New(t)
	lb, now := newBalancer(4), time.Duration(0)
	picks := func() {
		id, _ := lb.Pick(clock.At(now), "t3")
		lb.Started(clock.At(now), id)
		now += usualLatency
		lb.Finished(clock.At(now), id, Result{Latency: usualLatency, Load: &GateLoad{Limit: 12}})
	}
	for range 1000 {
		picks()
	}
	is.Equal(testing.AllocsPerRun(1000, picks), 0.0)
}

func BenchmarkPickStartedFinished(b *testing.B) {
	for _, targets := range []int{4, 100} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			lb, now := newBalancer(targets), time.Duration(0)
			ring := make([]table.MemberID, 40) // requests in progress
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += usualLatency / time.Duration(len(ring))
				id, _ := lb.Pick(clock.At(now))
				lb.Started(clock.At(now), id)
				ring[i%len(ring)], id = id, ring[i%len(ring)]
				if id != "" {
					lb.Finished(clock.At(now), id, Result{Latency: usualLatency, Load: &GateLoad{Running: 6, Limit: 12}})
				}
			}
		})
	}
}
