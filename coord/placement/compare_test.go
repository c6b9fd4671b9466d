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

// place is one way of placing all units anew, given their present owners.
type place func(units []UnitInfo, members []Member) []Assignment

func keepPlanner(p *Planner) place {
	return func(units []UnitInfo, members []Member) []Assignment {
		known := map[table.MemberID]bool{}
		for _, m := range members {
			known[m.ID] = true
		}
		after := slices.Clone(units)
		reassign(p, after, members, func(id table.MemberID) bool { return !known[id] })
		settle(p, after, members)
		out := make([]Assignment, len(after))
		for i, u := range after {
			out[i] = Assignment{u.ID, u.Owner}
		}
		return out
	}
}

func share(a, b []Assignment) float64 {
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

// TestCompare prints imbalance, moved share and cost of the planner and the
// two baselines at the loss and the return of one member. It guards against a
// planner that is worse than 1.10 or 1.1/n, or too slow at full size.
func TestCompare(t *testing.T) {
	is := is.New(t)
	t.Logf("%-11s %7s %7s | %9s %9s %9s | %9s %9s %8s", "method", "members", "units", "imbalance", "lost one", "returned", "moved*n", "back*n", "cost")
	for _, shape := range shapes {
		for _, name := range []string{"planner", "rendezvous", "bounded"} {
			members, units := makeMembers(shape.members), makeUnits(shape.units)
			rest := slices.Delete(slices.Clone(members), 1, 2)
			var f place
			switch name {
			case "planner":
				f = keepPlanner(NewPlanner(DefaultConfig()))
			case "rendezvous":
				f = Rendezvous
			default:
				f = func(u []UnitInfo, m []Member) []Assignment { return BoundedHash(u, m, 1.10) }
			}
			start := time.Now()
			first := f(units, members)
			cost := time.Since(start)
			setOwners(units, first)
			second := f(units, rest)
			setOwners(units, second)
			third := f(units, members)
			n := float64(shape.members)
			t.Logf("%-11s %7d %7d | %9.3f %9.3f %9.3f | %9.3f %9.3f %8s", name, shape.members, shape.units,
				Imbalance(members, UnitCounts(first)), Imbalance(rest, UnitCounts(second)), Imbalance(members, UnitCounts(third)),
				share(first, second)*n, share(second, third)*n, cost.Round(10*time.Microsecond))
		}
	}
	members, units := makeMembers(3_300), makeUnits(66_000)
	p := NewPlanner(DefaultConfig())
	setOwners(units, p.Assign(units, members, nil))
	for _, c := range []struct {
		name string
		gone func(Member) bool
	}{
		{"one member", func(m Member) bool { return m.ID == "m0007" }},
		{"a data centre", func(m Member) bool { return m.DataCentre == "dc3" }},
	} {
		lost := map[table.MemberID]bool{}
		for _, m := range members {
			lost[m.ID] = c.gone(m)
		}
		rest := slices.DeleteFunc(slices.Clone(members), c.gone)
		after := slices.Clone(units)
		gone := func(id table.MemberID) bool { return lost[id] }
		work := testing.AllocsPerRun(1, func() { reassign(p, slices.Clone(units), rest, gone) })
		moved := reassign(p, after, rest, gone)
		t.Logf("loss of %s of 3,300: %d units, %.0f allocations, imbalance %.3f", c.name, len(moved), work, Imbalance(rest, loads(after)))
		// The work follows the members and the units that move, not all units.
		is.True(work <= float64(2*(len(members)+len(moved))))
		is.True(Imbalance(rest, loads(after)) <= bound(len(units), len(rest))+1e-9)
	}
}

func BenchmarkAssignLossOfOne(b *testing.B) {
	for _, shape := range shapes {
		b.Run(fmt.Sprint(shape.members), func(b *testing.B) {
			members, units := makeMembers(shape.members), makeUnits(shape.units)
			p := NewPlanner(DefaultConfig())
			setOwners(units, p.Assign(units, members, nil))
			current := loads(units)
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
