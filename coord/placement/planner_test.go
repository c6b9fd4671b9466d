package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

func makeMembers(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{ID: table.MemberID(fmt.Sprintf("m%04d", i)), DataCentre: fmt.Sprint("dc", i%10)}
	}
	return out
}

func makeUnits(n int) []UnitInfo {
	out := make([]UnitInfo, n)
	for i := range out {
		out[i].ID = shard.Unit{Keyspace: "s", Shard: uint32(i)}
	}
	return out
}

// setOwners sets the owners of units from assignments.
func setOwners(units []UnitInfo, as []Assignment) {
	to := make(map[shard.Unit]table.MemberID, len(as))
	for _, a := range as {
		to[a.Unit] = a.To
	}
	for i := range units {
		if id, ok := to[units[i].ID]; ok {
			units[i].Owner = id
		}
	}
}

// memberLoads returns the load of each member.
func memberLoads(units []UnitInfo) map[table.MemberID]float64 {
	out := map[table.MemberID]float64{}
	for i := range units {
		out[units[i].Owner] += units[i].load()
	}
	return out
}

// rebalanceUntilStable calls Rebalance and applies its moves until it returns
// no more, and returns the moved units. The calls are 2 minutes apart, which is
// longer than MoveCooldown.
func rebalanceUntilStable(p *Planner, units []UnitInfo, members []Member) map[shard.Unit]bool {
	moved := map[shard.Unit]bool{}
	for i, idle := 0, 0; i < 200 && idle < p.cfg.MinConsecutiveImbalances+1; i++ {
		idle++
		for _, m := range p.Rebalance(clock.At(time.Duration(i)*2*time.Minute), units, members, len(units)) {
			idle = 0
			moved[m.Unit] = true
			setOwners(units, []Assignment{{m.Unit, m.To}})
		}
	}
	return moved
}

// imbalanceBound is the stated bound on imbalance of 1.10, or the ratio of the
// mean rounded up to a whole unit to the mean, whichever is larger.
func imbalanceBound(units, members int) float64 {
	mean := float64(units) / float64(members)
	whole := float64((units + members - 1) / members)
	return max(1.10, whole/mean)
}

// clusterSizes are the sizes at which the stated bounds are checked.
var clusterSizes = []struct{ members, units int }{{4, 64}, {11, 220}, {100, 2_000}, {3_300, 66_000}}

// Guards against an imbalance above the bound, and against moves of more than
// 1.1/n of the units, and so of other units, at the loss and at the return of
// one of n members.
func TestLossAndReturnOfOne(t *testing.T) {
	for _, size := range clusterSizes {
		t.Run(fmt.Sprint(size.members), func(t *testing.T) {
			is := is.New(t)
			members, units := makeMembers(size.members), makeUnits(size.units)
			p := NewPlanner(DefaultConfig())
			setOwners(units, p.Assign(units, members, nil))
			is.True(Imbalance(members, memberLoads(units)) <= imbalanceBound(size.units, size.members)+1e-9)

			lost := members[len(members)/2]
			remaining := slices.Delete(slices.Clone(members), len(members)/2, len(members)/2+1)
			moved := reassignLost(p, units, remaining, func(id table.MemberID) bool { return id == lost.ID })
			for u := range rebalanceUntilStable(p, units, remaining) {
				moved[u] = true
			}
			is.True(Imbalance(remaining, memberLoads(units)) <= imbalanceBound(size.units, len(remaining))+1e-9)
			is.True(float64(len(moved)) <= 1.1*float64(size.units)/float64(size.members))

			movedBack := rebalanceUntilStable(p, units, members)
			is.True(Imbalance(members, memberLoads(units)) <= imbalanceBound(size.units, size.members)+1e-9)
			is.True(float64(len(movedBack)) <= 1.1*float64(size.units)/float64(size.members))
			is.True(memberLoads(units)[lost.ID] >= 0.5*float64(size.units)/float64(size.members)) // the returned member has load again
		})
	}
}

// reassignLost assigns the units of lost members and returns them.
func reassignLost(p *Planner, units []UnitInfo, remaining []Member, isLost func(table.MemberID) bool) map[shard.Unit]bool {
	var free []UnitInfo
	current := map[table.MemberID]float64{}
	for _, u := range units {
		if isLost(u.Owner) {
			free = append(free, u)
		} else {
			current[u.Owner] += u.load()
		}
	}
	as := p.Assign(free, remaining, current)
	setOwners(units, as)
	moved := map[shard.Unit]bool{}
	for _, a := range as {
		moved[a.Unit] = true
	}
	return moved
}

// Guards against oscillation: units must hardly move when loads vary by a fifth
// around a balanced state, and when at every fifth measurement one member, each
// in turn, has 50% more load.
func TestNoiseDoesNotOscillate(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	members, units := makeMembers(11), makeUnits(220)
	p := NewPlanner(DefaultConfig())
	setOwners(units, p.Assign(units, members, nil))
	moves := 0
	for i := range 500 {
		for k := range units {
			units[k].Load = 0.8 + 0.4*rng.Float64()
			if i%5 == 0 && units[k].Owner == members[i%11].ID {
				units[k].Load *= 1.5
			}
		}
		for _, m := range p.Rebalance(clock.At(time.Duration(i)*2*time.Second), units, members, 20) {
			setOwners(units, []Assignment{{m.Unit, m.To}})
			moves++
		}
	}
	is.True(moves <= 11) // at most a twentieth of the units in 1,000 s
}

// Guards against units that move back and forth within the cooldown when the
// load alternates between two members.
func TestMovedUnitStays(t *testing.T) {
	is := is.New(t)
	members, units := makeMembers(2), makeUnits(8)
	p := NewPlanner(DefaultConfig())
	last := map[shard.Unit]time.Duration{}
	for i := range 300 {
		now := time.Duration(i) * 2 * time.Second
		for k := range units {
			if units[k].Owner == "" {
				units[k].Owner = members[k%2].ID
			}
			units[k].Load = 1
			if units[k].Owner == members[i/10%2].ID {
				units[k].Load = 3
			}
		}
		for _, m := range p.Rebalance(clock.At(now), units, members, 20) {
			at, before := last[m.Unit]
			is.True(!before || now-at >= time.Minute)
			last[m.Unit] = now
			setOwners(units, []Assignment{{m.Unit, m.To}})
		}
	}
	is.True(len(last) > 0)
}

// Guards against an imbalance above the bound when units differ in load: 37 of
// 440 units, all at one member at first, have five times the load of the
// others.
func TestBalancesUnevenLoad(t *testing.T) {
	is := is.New(t)
	members, units := makeMembers(11), makeUnits(440)
	p := NewPlanner(DefaultConfig())
	setOwners(units, p.Assign(units, members, nil))
	for i := range units {
		units[i].Load = 1
		if i%11 == 0 && i < 400 {
			units[i].Load = 5
		}
	}
	rebalanceUntilStable(p, units, members)
	is.True(Imbalance(members, memberLoads(units)) <= 1.10)
}

// Guards against units in a data centre that is not allowed, at an avoided
// member or assigned twice, and against a unit that is not assigned although a
// member is allowed, whatever the input.
func TestAssignRespectsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := makeMembers(rapid.IntRange(1, 12).Draw(t, "members"))
		for i := range members {
			members[i].Weight = rapid.Float64Range(0, 2).Draw(t, "weight")
		}
		units := makeUnits(rapid.IntRange(1, 60).Draw(t, "units"))
		for i := range units {
			units[i].Load = rapid.Float64Range(0, 10).Draw(t, "load")
			units[i].DataCentres = rapid.SliceOfN(rapid.SampledFrom([]string{"dc0", "dc1", "dc2"}), 0, 2).Draw(t, "dcs")
			units[i].Avoid = []table.MemberID{members[rapid.IntRange(0, len(members)-1).Draw(t, "avoid")].ID}
			units[i].Prefer = []table.MemberID{members[rapid.IntRange(0, len(members)-1).Draw(t, "prefer")].ID, "unknown"}
		}
		seen := map[shard.Unit]bool{}
		for _, a := range NewPlanner(DefaultConfig()).Assign(units, members, nil) {
			u := units[a.Unit.Shard]
			m := members[slices.IndexFunc(members, func(m Member) bool { return m.ID == a.To })]
			if seen[a.Unit] || !allows(&u, &m) {
				t.Fatalf("unit %v was assigned twice or to the forbidden member %v", u, m)
			}
			seen[a.Unit] = true
		}
		for i := range units {
			possible := slices.ContainsFunc(members, func(m Member) bool { return allows(&units[i], &m) })
			if possible != seen[units[i].ID] {
				t.Fatalf("unit %v: a member is allowed: %v, assigned: %v", units[i], possible, seen[units[i].ID])
			}
		}
	})
}
