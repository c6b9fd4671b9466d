package quota

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var scheduleCount = flag.Int("quota.schedules", 10_000, "number of generated schedules")

// disturb lets one of the faults of a schedule begin, with the given probability per
// second for each of them.
func (sim *simulation) disturb(perSecond float64, names []string) {
	for _, p := range sim.processes {
		if sim.chance(perSecond) {
			p.frozenUntil = sim.now + sim.duration(12*time.Second)
		}
		if sim.chance(perSecond) {
			p.cutUntil = sim.now + sim.duration(12*time.Second)
		}
		if sim.chance(perSecond) {
			p.holder, p.upAt = nil, sim.now+sim.duration(3*time.Second)
		}
		if p.holder != nil && sim.chance(perSecond) {
			p.holder.Leave()
			p.endsAt = sim.now + sim.duration(500*time.Millisecond)
		}
		if p.endsAt > 0 && sim.now >= p.endsAt {
			p.holder, p.upAt, p.endsAt = nil, sim.now+sim.duration(3*time.Second), 0
		}
		for _, name := range names {
			if sim.chance(0.25) {
				p.traffic[name] = []float64{0, 0, 3, 50, 500, 500}[sim.rng.IntN(6)]
			}
		}
	}
	if sim.leader != nil && sim.chance(2*perSecond) {
		sim.leader, sim.nextStart = nil, sim.now+sim.duration(1500*time.Millisecond)
	}
	if sim.chance(perSecond) {
		name := names[sim.rng.IntN(len(names))]
		sim.setLimit(name, sim.randomLimit(name))
	}
}

// randomLimit returns a limit whose kind of division depends on the name only.
func (sim *simulation) randomLimit(name string) Limit {
	if name == "small" {
		return Limit{Rate: 1 + float64(sim.rng.IntN(10)), Burst: float64(sim.rng.IntN(8))}
	}
	return Limit{Rate: 25 + float64(sim.rng.IntN(200)), Burst: float64(1 + sim.rng.IntN(30))}
}

// runSchedule runs a generated schedule and returns the first violation of the guarantee.
func runSchedule(seed uint64, sabotage bool) (violation string, admitted int) {
	sim := newSimulation(seed, 2+int(seed%4), sabotage)
	names := []string{"small", "large"}
	for _, name := range names {
		sim.setLimit(name, sim.randomLimit(name))
	}
	rate := []float64{0, 0.02, 0.1, 0.3}[seed/4%4]
	for sim.now < 25*time.Second && sim.violation == "" {
		sim.disturb(rate, names)
		sim.step()
	}
	for _, p := range sim.processes {
		admitted += p.admitted
	}
	return sim.violation, admitted
}

// Guards against processes that together admit more than a limit in any window of time:
// with frozen, cut off, restarted and leaving processes, changed leaders and limits, and messages
// that are lost, late, repeated and reordered.
func TestLimitHolds(t *testing.T) {
	perCheck, admitted := max(*scheduleCount/100, 1), 0
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Uint64().Draw(t, "seed") * uint64(perCheck)
		for i := range uint64(perCheck) {
			violation, n := runSchedule(first+i, false)
			if violation != "" {
				t.Fatalf("schedule %d: %s", first+i, violation)
			}
			admitted += n
		}
	})
	if admitted < 1000*perCheck {
		t.Fatalf("only %d requests were admitted", admitted)
	}
}

// Guards against a check that would not see an allotment that counts once when it must
// count twice: with that rule removed, some schedules must break the guarantee.
func TestCheckFindsAllotmentCountedOnce(t *testing.T) {
	is := is.New(t)
	const schedules = 2000
	for seed := range uint64(schedules) {
		if violation, _ := runSchedule(seed, true); violation != "" {
			t.Logf("schedule %d: %s", seed, violation)
			return
		}
	}
	is.True(false) // no schedule breaks the guarantee
}
