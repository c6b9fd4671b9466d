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

const usual = 5 * time.Millisecond

func newBalancer(targets int) *Balancer {
	c := New(Config{DataCentre: "a"}, rand.New(rand.NewPCG(1, 1)))
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: table.MemberID(fmt.Sprint("t", i)), DataCentre: string(rune('a' + i)), Slots: 12})
	}
	c.SetTargets(clock.At(0), list)
	return c
}

// serve picks and finishes n requests one after the other with latencies by
// target, and counts the picks.
func serve(c *Balancer, now *time.Duration, n int, latency func(table.MemberID) time.Duration) map[table.MemberID]int {
	picks := map[table.MemberID]int{}
	for range n {
		id, _ := c.Pick(clock.At(*now))
		picks[id]++
		c.Started(clock.At(*now), id)
		d := latency(id)
		*now += d
		c.Finished(clock.At(*now), id, Result{Latency: d})
	}
	return picks
}

func steady(table.MemberID) time.Duration { return usual }

// Guards against new work for targets that leave or that the request has tried.
func TestPickExcludes(t *testing.T) {
	is := is.New(t)
	c := newBalancer(3)
	c.SetTargets(clock.At(0), []Target{{ID: "t0", Draining: true}, {ID: "t1", Slots: 1}, {ID: "t2", Slots: 1}})
	for range 100 {
		id, ok := c.Pick(clock.At(0), "t1")
		is.True(ok)
		is.Equal(id, table.MemberID("t2"))
	}
	_, ok := c.Pick(clock.At(0), "t1", "t2")
	is.True(!ok)
}

// Guards against needless hops, and against a near target that gets more than
// its share only because it is near.
func TestNearOnlyIfEqual(t *testing.T) {
	is := is.New(t)
	c := newBalancer(3)
	counts := map[table.MemberID]int{}
	for i := range 30 {
		id, _ := c.Pick(clock.At(0))
		is.True(i > 0 || id == "t0") // the near one of equal targets
		c.Started(clock.At(0), id)
		counts[id]++
	}
	is.Equal(counts, map[table.MemberID]int{"t0": 10, "t1": 10, "t2": 10})
}

// Guards against a target that has stopped answering and gets requests until
// the first ones time out, and against a return without proof.
func TestStoppedTargetIsSuspected(t *testing.T) {
	is := is.New(t)
	c, now := newBalancer(3), time.Duration(0)
	serve(c, &now, 100, steady)
	for range 3 {
		c.Started(clock.At(now), "t1")
	}
	now += 10 * usual
	suspects := c.Suspects(clock.At(now))
	is.Equal(len(suspects), 1)
	is.Equal(suspects[0].ID, table.MemberID("t1"))
	is.Equal(suspects[0].Overdue, 3)
	is.True(suspects[0].Applied)
	is.Equal(serve(c, &now, 1000, steady)["t1"], 0) // no probe while requests are late
	for range 3 {
		c.Finished(clock.At(now), "t1", Result{Latency: 10 * usual, Kind: Cancelled})
	}
	from := now
	probes := serve(c, &now, 1000, func(id table.MemberID) time.Duration {
		if id == "t1" {
			return 10 * usual
		}
		return usual
	})["t1"]
	is.True(probes > 0)
	now += time.Minute
	id, _ := c.PickWithoutProbe(clock.At(now), "t0")
	is.Equal(id, table.MemberID("t2")) // a probe is due, but not with a request that cannot be hedged
	id, _ = c.Pick(clock.At(now), "t0")
	is.Equal(id, table.MemberID("t1"))
	is.True(probes <= 1000/DefaultMinPicksBetweenProbes+int((now-from)/DefaultMaxProbeInterval)) // few probes, none of which returns it
	is.Equal(len(c.Suspects(clock.At(now))), 1)
	c.Started(clock.At(now), "t1")
	now += 20 * usual
	for range 3 {
		c.Started(clock.At(now-usual), "t1")
		c.Finished(clock.At(now), "t1", Result{Latency: usual})
	}
	is.Equal(c.Counters().Reinstated, uint64(0)) // one request is still late
	c.Finished(clock.At(now), "t1", Result{Latency: 20 * usual})
	serve(c, &now, 300, steady)
	is.Equal(len(c.Suspects(clock.At(now))), 0) // normal probes return it
}

// Guards against a suspect that stays idle while all other targets are crowded.
func TestCrowdedServiceUsesSuspects(t *testing.T) {
	is := is.New(t)
	c, now := newBalancer(3), time.Duration(0)
	serve(c, &now, 100, steady)
	for range int(DefaultSuspectThreshold) {
		c.Finished(clock.At(now), "t0", Result{Kind: Failed})
	}
	picks := map[table.MemberID]int{}
	for range 100 {
		id, _ := c.Pick(clock.At(now))
		c.Started(clock.At(now), id)
		picks[id]++
	}
	is.True(picks["t0"] > 0 && picks["t0"] < 20) // only after the others had queues
}

// Guards against a service without targets when all of them are slow, and
// against ejection that an operator switched off.
func TestEjectionNeverEmpties(t *testing.T) {
	is := is.New(t)
	c, now := newBalancer(3), time.Duration(0)
	serve(c, &now, 100, steady)
	stop := func(ids ...table.MemberID) {
		for _, id := range ids {
			for range 6 {
				c.Started(clock.At(now), id)
			}
		}
		now += 10 * usual
	}
	stop("t0")
	c.SetEjection(false)
	is.True(!c.Suspects(clock.At(now))[0].Applied)
	for range 6 {
		c.Finished(clock.At(now), "t0", Result{Latency: 10 * usual, Kind: Cancelled})
	}
	id, _ := c.Pick(clock.At(now))
	is.Equal(id, table.MemberID("t0")) // near and idle
	c.SetEjection(true)
	id, _ = c.Pick(clock.At(now))
	is.True(id != "t0")
	stop("t1", "t2")
	is.Equal(len(c.Suspects(clock.At(now))), 3)
	_, ok := c.Pick(clock.At(now))
	is.True(ok)
}

// Guards against a gate that refuses at once, looks idle and draws all requests.
func TestRefusalsRepel(t *testing.T) {
	is := is.New(t)
	c, refused := newBalancer(3), 0
	for i := range 300 {
		now := clock.At(time.Duration(i) * 100 * time.Microsecond)
		id, _ := c.Pick(now)
		c.Started(now, id)
		if id == "t0" {
			refused++
			c.Finished(now, id, Result{Kind: Refused, Load: &GateLoad{Running: 1, Limit: 1}})
		}
	}
	is.True(refused < 100) // fewer than an equal share
}

// Guards against garbage on the path of every request.
func TestNoAllocation(t *testing.T) {
	is := is.New(t)
	c, now := newBalancer(4), time.Duration(0)
	picks := func() {
		id, _ := c.Pick(clock.At(now), "t3")
		c.Started(clock.At(now), id)
		now += usual
		c.Finished(clock.At(now), id, Result{Latency: usual, Load: &GateLoad{Limit: 12}})
	}
	for range 1000 {
		picks()
	}
	is.Equal(testing.AllocsPerRun(1000, picks), 0.0)
}

func BenchmarkPickStartedFinished(b *testing.B) {
	for _, targets := range []int{4, 100} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			c, now := newBalancer(targets), time.Duration(0)
			ring := make([]table.MemberID, 40) // requests in progress
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += usual / time.Duration(len(ring))
				id, _ := c.Pick(clock.At(now))
				c.Started(clock.At(now), id)
				ring[i%len(ring)], id = id, ring[i%len(ring)]
				if id != "" {
					c.Finished(clock.At(now), id, Result{Latency: usual, Load: &GateLoad{Running: 6, Limit: 12}})
				}
			}
		})
	}
}
