package placement

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// Planner places units. It is deterministic: the same calls give the same
// answers.
type Planner struct {
	cfg    Config
	streak int
	moved  map[shard.Unit]clock.Reading
}

// NewPlanner returns a planner without history.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, moved: map[shard.Unit]clock.Reading{}}
}

// Assign gives each unit to a member. Current is the load that each member
// already has. Units for which no member is allowed are left out. Only the
// given units are placed, so a loss moves nothing but the lost member's units.
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
	// Large units first: small ones then even out what remains.
	slices.SortStableFunc(order, func(a, b *UnitInfo) int { return cmp.Compare(b.load(), a.load()) })
	pool := newPool(members, current, total/float64(len(units)))
	limit := (pool.load + total) / pool.weight * p.cfg.OverloadThreshold
	out := make([]Assignment, 0, len(units))
	for _, u := range order {
		to := pool.preferred(u, limit)
		if to == nil {
			to = pool.lowest(u)
		}
		if to == nil {
			continue
		}
		pool.add(to, u.load())
		out = append(out, Assignment{Unit: u.ID, To: to.ID})
	}
	return out
}

// preferred returns the least loaded preferred member that stays below limit
// with u, or nil.
func (p *pool) preferred(u *UnitInfo, limit float64) *slot {
	var best *slot
	for _, id := range u.Prefer {
		s := p.slots[id]
		if s == nil || !s.allows(u) || (s.load+u.load())/s.Weight > limit {
			continue
		}
		if best == nil || less(s, best, p.step) {
			best = s
		}
	}
	return best
}

// Imbalance returns the largest load over the mean, with loads divided by
// weights; 0 without members or load.
func Imbalance(members []Member, load map[table.MemberID]float64) float64 {
	p := newPool(members, load, 0)
	mean := p.mean()
	if mean == 0 {
		return 0
	}
	largest := 0.0
	for _, s := range p.slots {
		largest = max(largest, s.load/s.Weight)
	}
	return largest / mean
}
