package placement

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Planner assigns units to members and rebalances them. It is deterministic: the
// same sequence of calls gives the same results. It is not safe for concurrent
// use.
type Planner struct {
	cfg                   Config
	consecutiveImbalances int
	// movedAt holds the units that were moved within MoveCooldown.
	movedAt map[shard.Unit]clock.Reading
}

// NewPlanner returns a planner that has moved no units yet.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, movedAt: map[shard.Unit]clock.Reading{}}
}

// Assign returns an assignment of each unit to a member, units with the largest
// load first. current is the load that each member already has, in the measure
// of UnitInfo.Load. Units for which no member is allowed are left out. Units
// that are not listed stay where they are, so that the loss of a member moves
// only its own units.
func (p *Planner) Assign(units []UnitInfo, members []Member, current map[table.MemberID]float64) []Assignment {
	if len(units) == 0 || len(members) == 0 {
		return nil
	}
	total := 0.0
	order := make([]*UnitInfo, len(units))
	for i := range units {
		order[i] = &units[i]
		total += units[i].load()
	}
	// Large units first: the small ones can then even out the loads.
	slices.SortStableFunc(order, func(a, b *UnitInfo) int { return cmp.Compare(b.load(), a.load()) })
	pool := newPool(members, current, total/float64(len(units)))
	limit := (pool.load + total) / pool.weight * p.cfg.OverloadThreshold
	out := make([]Assignment, 0, len(units))
	for _, u := range order {
		to := pool.leastLoadedPreferred(u, limit)
		if to == nil {
			to = pool.leastLoaded(u)
		}
		if to == nil {
			continue
		}
		pool.addLoad(to, u.load())
		out = append(out, Assignment{Unit: u.ID, To: to.ID})
	}
	return out
}

// leastLoadedPreferred returns the least loaded of the members that u prefers
// whose load over weight would not exceed limit with u, or nil.
func (p *pool) leastLoadedPreferred(u *UnitInfo, limit float64) *memberLoad {
	var best *memberLoad
	for _, id := range u.Prefer {
		m := p.members[id]
		if m == nil || !m.allows(u) || (m.load+u.load())/m.Weight > limit {
			continue
		}
		if best == nil || lessLoaded(m, best, p.typicalLoad) {
			best = m
		}
	}
	return best
}

// Imbalance returns the ratio of the largest member load to the mean, with
// loads divided by weights; 0 without members or load.
func Imbalance(members []Member, load map[table.MemberID]float64) float64 {
	p := newPool(members, load, 0)
	mean := p.mean()
	if mean == 0 {
		return 0
	}
	largest := 0.0
	for _, m := range p.members {
		largest = max(largest, m.load/m.Weight)
	}
	return largest / mean
}
