package placement

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// rebalancing is the working state of one Rebalance call.
type rebalancing struct {
	cfg          Config
	pool         *pool
	mean         float64
	unitsByOwner map[table.MemberID][]*UnitInfo
	exhausted    map[table.MemberID]bool // members without a move that improves the balance
	overloaded   bool
	underloaded  bool
}

// Rebalance returns at most limit moves that bring the members' loads within
// the thresholds. It leaves out units whose owner is not among members: they
// are not moved and count as no load. It returns no move until
// Config.MinConsecutiveImbalances consecutive calls found an imbalance, and
// does not move a unit twice within Config.MoveCooldown. Call ForgetMove for a
// move that does not start.
func (p *Planner) Rebalance(now clock.Reading, units []UnitInfo, members []Member, limit int) []Move {
	p.expireCooldowns(now)
	r := newRebalancing(p.cfg, units, members)
	r.overloaded, r.underloaded = r.thresholdsCrossed()
	if !r.overloaded && !r.underloaded {
		p.consecutiveImbalances = 0
		return nil
	}
	p.consecutiveImbalances++
	if p.consecutiveImbalances < p.cfg.MinConsecutiveImbalances {
		return nil
	}
	var moves []Move
	for len(moves) < limit {
		m, ok := r.nextMove(p, now)
		if !ok {
			break
		}
		p.movedAt[m.Unit] = now
		moves = append(moves, m)
	}
	return moves
}

// expireCooldowns removes moves that are older than MoveCooldown.
func (p *Planner) expireCooldowns(now clock.Reading) {
	for u, at := range p.movedAt {
		if now.Since(at) >= p.cfg.MoveCooldown {
			delete(p.movedAt, u)
		}
	}
}

// newRebalancing computes the loads of members from the units that they own.
func newRebalancing(cfg Config, units []UnitInfo, members []Member) *rebalancing {
	known := make(map[table.MemberID]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
	}
	r := &rebalancing{cfg: cfg, unitsByOwner: map[table.MemberID][]*UnitInfo{}, exhausted: map[table.MemberID]bool{}}
	load := map[table.MemberID]float64{}
	total, n := 0.0, 0
	for i := range units {
		u := &units[i]
		if !known[u.Owner] {
			continue
		}
		load[u.Owner] += u.load()
		r.unitsByOwner[u.Owner] = append(r.unitsByOwner[u.Owner], u)
		total += u.load()
		n++
	}
	r.pool = newPool(members, load, total/float64(max(n, 1)))
	r.mean = r.pool.mean()
	return r
}

// thresholdsCrossed reports whether any member is overloaded or underloaded
// enough for Rebalance to start.
func (r *rebalancing) thresholdsCrossed() (over, under bool) {
	for _, m := range r.pool.members {
		over = over || r.isOverloaded(m, r.cfg.OverloadThreshold)
		under = under || r.isUnderloaded(m, r.cfg.UnderloadThreshold)
	}
	return over, under
}

// isOverloaded reports whether m has more than factor times its fair load, and
// exceeds the fair load by at least its smallest unit: a smaller excess cannot be
// moved away.
func (r *rebalancing) isOverloaded(m *memberLoad, factor float64) bool {
	fairLoad := r.mean * m.Weight
	return m.load > factor*fairLoad && m.load-fairLoad >= r.smallestUnitLoad(m)*(1-1e-9)
}

// isUnderloaded reports whether m has less than factor times its fair load, and
// has room for at least one typical unit.
func (r *rebalancing) isUnderloaded(m *memberLoad, factor float64) bool {
	fairLoad := r.mean * m.Weight
	return m.load < factor*fairLoad && fairLoad-m.load >= r.pool.typicalLoad*(1-1e-9)
}

// smallestUnitLoad returns the load of m's smallest unit, at most the typical
// load.
func (r *rebalancing) smallestUnitLoad(m *memberLoad) float64 {
	least := r.pool.typicalLoad
	for _, u := range r.unitsByOwner[m.ID] {
		least = min(least, u.load())
	}
	return least
}

// nextMove returns a move from the most loaded member that has a useful one, and
// applies it to the loads. It returns false if no move is necessary or useful.
func (r *rebalancing) nextMove(p *Planner, now clock.Reading) (Move, bool) {
	fillUnderloaded := r.underloaded && r.anyUnderloaded()
	for {
		from := r.mostLoaded()
		if from == nil || (!fillUnderloaded && !r.isOverloaded(from, r.cfg.OverloadStopThreshold)) {
			return Move{}, false
		}
		if u, to := r.bestMove(p, from, fillUnderloaded); u != nil {
			r.apply(u, from, to)
			return Move{Unit: u.ID, From: from.ID, To: to.ID}, true
		}
		r.exhausted[from.ID] = true
	}
}

func (r *rebalancing) anyUnderloaded() bool {
	for _, m := range r.pool.members {
		if r.isUnderloaded(m, r.cfg.UnderloadStopThreshold) {
			return true
		}
	}
	return false
}

// mostLoaded returns the member with the highest load over weight that is not
// exhausted, or nil.
func (r *rebalancing) mostLoaded() *memberLoad {
	var best *memberLoad
	for _, m := range r.pool.members {
		if r.exhausted[m.ID] {
			continue
		}
		if best == nil || cmp.Compare(m.load/m.Weight, best.load/best.Weight) > 0 ||
			(m.load/m.Weight == best.load/best.Weight && m.ID < best.ID) {
			best = m
		}
	}
	return best
}

// bestMove returns the unit of from, and its new owner, whose move leaves the
// smallest load over weight on the more loaded of the two members. Fixed units
// and units moved within MoveCooldown are skipped. If fillUnderloaded is set
// and from is not overloaded, only moves to underloaded members count. It
// returns nil if no move lowers the load.
func (r *rebalancing) bestMove(p *Planner, from *memberLoad, fillUnderloaded bool) (*UnitInfo, *memberLoad) {
	var pick *UnitInfo
	var pickTo *memberLoad
	least := from.load / from.Weight
	for _, u := range r.unitsByOwner[from.ID] {
		if _, recent := p.movedAt[u.ID]; u.Fixed || recent {
			continue
		}
		to := r.pool.leastLoaded(u)
		if to == nil || to == from {
			continue
		}
		if fillUnderloaded && !r.isOverloaded(from, r.cfg.OverloadStopThreshold) && !r.isUnderloaded(to, r.cfg.UnderloadStopThreshold) {
			continue
		}
		top := max((from.load-u.load())/from.Weight, (to.load+u.load())/to.Weight)
		if top < least*(1-1e-9) {
			pick, pickTo, least = u, to, top
		}
	}
	return pick, pickTo
}

// apply moves u in the working state.
func (r *rebalancing) apply(u *UnitInfo, from, to *memberLoad) {
	r.pool.addLoad(from, -u.load())
	r.pool.addLoad(to, u.load())
	i := slices.Index(r.unitsByOwner[from.ID], u)
	r.unitsByOwner[from.ID] = slices.Delete(r.unitsByOwner[from.ID], i, i+1)
	delete(r.exhausted, from.ID)
}

// ForgetMove ends the cooldown of a unit, because its planned move did not start.
func (p *Planner) ForgetMove(u shard.Unit) { delete(p.movedAt, u) }
