package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// placementFunc returns an assignment of all units, given their present owners.
type placementFunc func(units []UnitInfo, members []Member) []Assignment

// placeWithPlanner returns a function that moves units with p only as far as
// necessary: it assigns the units of lost members and rebalances.
func placeWithPlanner(p *Planner) placementFunc {
	return func(units []UnitInfo, members []Member) []Assignment {
		known := map[table.MemberID]bool{}
		for _, m := range members {
			known[m.ID] = true
		}
		after := slices.Clone(units)
		reassignLost(p, after, members, func(id table.MemberID) bool { return !known[id] })
		rebalanceUntilStable(p, after, members)
		out := make([]Assignment, len(after))
		for i, u := range after {
			out[i] = Assignment{u.ID, u.Owner}
		}
		return out
	}
}

// movedFraction returns the fraction of the units in b that have another member
// than in a.
func movedFraction(a, b []Assignment) float64 {
	before := map[shard.Unit]table.MemberID{}
	for _, x := range a {
		before[x.Unit] = x.To
	}
	moved := 0
	for _, x := range b {
		if before[x.Unit] != x.To {
			moved++
		}
	}
	return float64(moved) / float64(len(b))
}

// TestCompare logs imbalance, moved units and run time of the planner and the
// two baselines at the loss and the return of one member. At full size it guards
// against an imbalance above the bound, and against a planner whose work grows
// with all units instead of those that move.
func TestCompare(t *testing.T) {
	is := is.New(t)
	// moved*n and back*n are the fractions of moved units at the loss and at the
	// return, times the number of members: 1 if only the units of the lost member
	// move. cost is the run time of the first assignment.
	t.Logf("%-11s %7s %7s | %9s %9s %9s | %9s %9s %8s", "method", "members", "units", "imbalance", "lost one", "returned", "moved*n", "back*n", "cost")
	for _, size := range clusterSizes {
		for _, name := range []string{"planner", "rendezvous", "bounded"} {
			members, units := makeMembers(size.members), makeUnits(size.units)
			remaining := slices.Delete(slices.Clone(members), 1, 2)
			var assign placementFunc
			switch name {
			case "planner":
				assign = placeWithPlanner(NewPlanner(DefaultConfig()))
			case "rendezvous":
				assign = Rendezvous
			default:
				assign = func(u []UnitInfo, m []Member) []Assignment { return BoundedHash(u, m, 1.10) }
			}
			start := time.Now()
			first := assign(units, members)
			cost := time.Since(start)
			setOwners(units, first)
			second := assign(units, remaining)
			setOwners(units, second)
			third := assign(units, members)
			n := float64(size.members)
			t.Logf("%-11s %7d %7d | %9.3f %9.3f %9.3f | %9.3f %9.3f %8s", name, size.members, size.units,
				Imbalance(members, UnitCounts(first)), Imbalance(remaining, UnitCounts(second)), Imbalance(members, UnitCounts(third)),
				movedFraction(first, second)*n, movedFraction(second, third)*n, cost.Round(10*time.Microsecond))
		}
	}
	members, units := makeMembers(3_300), makeUnits(66_000)
	p := NewPlanner(DefaultConfig())
	setOwners(units, p.Assign(units, members, nil))
	for _, c := range []struct {
		name   string
		isLost func(Member) bool
	}{
		{"one member", func(m Member) bool { return m.ID == "m0007" }},
		{"a data centre", func(m Member) bool { return m.DataCentre == "dc3" }},
	} {
		lost := map[table.MemberID]bool{}
		for _, m := range members {
			lost[m.ID] = c.isLost(m)
		}
		remaining := slices.DeleteFunc(slices.Clone(members), c.isLost)
		after := slices.Clone(units)
		isLost := func(id table.MemberID) bool { return lost[id] }
		allocations := testing.AllocsPerRun(1, func() { reassignLost(p, slices.Clone(units), remaining, isLost) })
		moved := reassignLost(p, after, remaining, isLost)
		t.Logf("loss of %s of 3,300: %d units, %.0f allocations, imbalance %.3f", c.name, len(moved), allocations, Imbalance(remaining, memberLoads(after)))
		// The allocations are proportional to the members and the units that move,
		// not to all units.
		is.True(allocations <= float64(2*(len(members)+len(moved))))
		is.True(Imbalance(remaining, memberLoads(after)) <= imbalanceBound(len(units), len(remaining))+1e-9)
	}
}

func BenchmarkAssignLossOfOne(b *testing.B) {
	for _, size := range clusterSizes {
		b.Run(fmt.Sprint(size.members), func(b *testing.B) {
			members, units := makeMembers(size.members), makeUnits(size.units)
			p := NewPlanner(DefaultConfig())
			setOwners(units, p.Assign(units, members, nil))
			current := memberLoads(units)
			var free []UnitInfo
			for _, u := range units {
				if u.Owner == members[0].ID {
					free = append(free, u)
				}
			}
			for b.Loop() {
				p.Assign(free, members[1:], current)
			}
		})
	}
}
