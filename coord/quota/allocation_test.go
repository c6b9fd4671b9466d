package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// steady runs a limit without faults, at the given rates of requests by process, and
// returns the processes' counts of the time after the first five seconds.
func steady(seed uint64, limit Limit, rates []float64, d time.Duration) *simulation {
	sim := newSimulation(seed, 67, false)
	sim.reliable = true
	sim.step()
	sim.setLimit("a", limit)
	for i, rate := range rates {
		sim.processes[i].traffic["a"] = rate
	}
	for _, p := range sim.processes {
		p.holder.SetLimits(p.clock.at(sim.now), sim.limits)
	}
	for sim.now < 5*time.Second {
		sim.step()
	}
	for _, p := range sim.processes {
		p.admitted, p.refused = 0, 0
	}
	for sim.now < 5*time.Second+d {
		sim.step()
	}
	return sim
}

func (sim *simulation) counts() (admitted, refused float64) {
	for _, p := range sim.processes {
		admitted += float64(p.admitted)
		refused += float64(p.refused)
	}
	return admitted, refused
}

// Guards against accounts that do not get their rate because it is divided among the
// processes of their callers, and against a division that favours some of them.
func TestAccountsGetTheirRate(t *testing.T) {
	is := is.New(t)
	many := make([]float64, 50)
	for i := range many {
		many[i] = 4
	}
	for _, c := range []struct {
		name      string
		limit     Limit
		rates     []float64
		admitted  float64 // least part of the requests, or of the rate if they are more
		leastPart float64 // of an equal part of the rate, of each process
	}{
		{"small, three callers below the rate", Limit{5, 5}, []float64{1.2, 1.2, 1.2}, 0.95, 0},
		{"small, three callers above the rate", Limit{5, 5}, []float64{4, 4, 4}, 0.93, 0.8},
		{"small, one caller floods", Limit{5, 5}, []float64{100, 2, 2}, 0.93, 0.45}, // refused requests of the two do not return,
		{"small, more callers than burst", Limit{5, 5}, []float64{1, 1, 1, 1, 1, 1, 1, 1}, 0.85, 0.6},
		{"small, one caller", Limit{5, 0}, []float64{3}, 0.55, 0},
		{"large, below the rate", Limit{261, 261}, many, 0.98, 0},
		{"large, above the rate", Limit{100, 100}, many, 0.9, 0.7},
	} {
		sim := steady(7, c.limit, c.rates, 200*time.Second)
		admitted, refused := sim.counts()
		possible := min(admitted+refused, c.limit.Rate*200)
		t.Logf("%s: %.1f%% of %.0f, %.0f refused", c.name, 100*admitted/possible, possible, refused)
		is.Equal(sim.violation, "")
		if admitted < c.admitted*possible {
			t.Error(c.name)
		}
		for i := range c.rates {
			if float64(sim.processes[i].admitted) < c.leastPart*c.limit.Rate*200/float64(len(c.rates)) {
				t.Errorf("%s: process %d got %d", c.name, i, sim.processes[i].admitted)
			}
		}
	}
}

// Guards against a first request at a new process that is refused although the account is
// below its limit.
func TestFirstRequestAtNewProcess(t *testing.T) {
	for _, limit := range []Limit{{5, 5}, {261, 261}, {30, 5}} {
		sim := steady(3, limit, []float64{1, 1}, 0)
		for _, p := range sim.processes[10:40] {
			p.admitted, p.refused = 0, 0
			p.traffic["a"] = 1e-9
			p.holder.Request(p.clock.at(sim.now), "a")
			p.waiting["a"] = sim.now
			p.holder.AddWaiting("a", 1)
			p.nextRenewal = sim.now
			for until := sim.now + 500*time.Millisecond; sim.now < until; {
				sim.step()
			}
			if p.admitted != 1 {
				l := sim.leader.ledgers["a"]
				t.Fatalf("%s: admitted %d refused %d; %+v; active %d %v %+v", p.address, p.admitted, p.refused, limit, l.active, l.reserve, l.counted)
			}
		}
	}
}

// Guards against max-min parts that exceed a need or the total, or that give one process
// more than another that needs as much.
func TestMaxMin(t *testing.T) {
	is := is.New(t)
	is.Equal(maxMin([]float64{1, 10, 3}, 9), []float64{1, 5, 3})
	is.Equal(maxMin([]float64{0, 4, 4}, 6), []float64{0, 3, 3})
	is.Equal(maxMin([]float64{1, 2}, 9), []float64{1, 2})
}

// Guards against a process that is granted something while its registration is missing,
// is of an earlier incarnation, or is being removed: the next leader would not wait for
// it.
func TestOnlyRegisteredProcessesHoldTokens(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	a, h := NewAllocator(cfg), NewHolder(cfg, 9<<32)
	a.Start(0, 1, nil)
	a.SetLimits(0, nil)
	limits := map[string]Limit{"a": {Rate: 5, Burst: 5}}
	a.SetLimits(0, limits)
	h.SetLimits(0, limits)
	now := time.Duration(0)
	renew := func() bool {
		now += 100 * time.Millisecond
		h.Request(now, "a")
		if reply := a.Renew(now, "p", h.Report(now)); reply != nil {
			h.Apply(now, now, *reply)
		}
		return h.Take(now, "a")
	}
	is.True(!renew())
	is.True(!renew())
	is.True(!renew())
	is.Equal(a.Unregistered(), []Process{{Address: "p", Incarnation: 9 << 32}})
	a.SetRegistered([]Registration{{Process: Process{Address: "p", Incarnation: 8 << 32}, Index: 1}})
	is.True(!renew())
	registered := []Registration{{Process: Process{Address: "p", Incarnation: 9 << 32}, Index: 2}}
	a.SetRegistered(registered)
	is.True(renew())
	now += cfg.SilentAfter + time.Second
	is.Equal(a.Silent(now), registered)
	a.SetRegistered(registered)
	for range 5 {
		is.True(!renew())
	}
	registered[0].Index = 3
	a.SetRegistered(registered)
	is.True(renew())
}
