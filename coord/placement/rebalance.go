package placement

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

// run is the working state of one Rebalance call.
type run struct {
	cfg   Config
	pool  *pool
	mean  float64
	held  map[table.MemberID][]*UnitInfo
	stuck map[table.MemberID]bool // members without a move that helps
	over  bool
	under bool
}

// Rebalance returns at most limit moves that bring the members' loads to
// within the bounds. Units whose owner is not among members are left alone. It
// returns nothing until Config.MinConsecutiveImbalances consecutive calls found an imbalance,
// and never moves a unit again within Config.MoveCooldown.
func (p *Planner) Rebalance(now clock.Reading, units []UnitInfo, members []Member, limit int) []Move {
	p.expire(now)
	r := newRun(p.cfg, units, members)
	r.over, r.under = r.triggered()
	if !r.over && !r.under {
		p.streak = 0
		return nil
	}
	p.streak++
	if p.streak < p.cfg.MinConsecutiveImbalances {
		return nil
	}
	var moves []Move
	for len(moves) < limit {
		m, ok := r.next(p, now)
		if !ok {
			break
		}
		p.moved[m.Unit] = now
		moves = append(moves, m)
	}
	return moves
}

// expire forgets moves that are older than the dwell time.
func (p *Planner) expire(now clock.Reading) {
	for u, at := range p.moved {
		if now.Since(at) >= p.cfg.MoveCooldown {
			delete(p.moved, u)
		}
	}
}

func newRun(cfg Config, units []UnitInfo, members []Member) *run {
	known := make(map[table.MemberID]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
	}
	r := &run{cfg: cfg, held: map[table.MemberID][]*UnitInfo{}, stuck: map[table.MemberID]bool{}}
	load := map[table.MemberID]float64{}
	total, n := 0.0, 0
	for i := range units {
		u := &units[i]
		if !known[u.Owner] {
			continue
		}
		load[u.Owner] += u.load()
		r.held[u.Owner] = append(r.held[u.Owner], u)
		total += u.load()
		n++
	}
	r.pool = newPool(members, load, total/float64(max(n, 1)))
	r.mean = r.pool.mean()
	return r
}

func (r *run) triggered() (over, under bool) {
	for _, s := range r.pool.slots {
		over = over || r.above(s, r.cfg.OverloadThreshold)
		under = under || r.below(s, r.cfg.UnderloadThreshold)
	}
	return over, under
}

// above reports whether s carries more than factor times its share, by at
// least one of its units: less than that cannot be improved.
func (r *run) above(s *slot, factor float64) bool {
	share := r.mean * s.Weight
	return s.load > factor*share && s.load-share >= r.smallest(s)*(1-1e-9)
}

func (r *run) below(s *slot, factor float64) bool {
	share := r.mean * s.Weight
	return s.load < factor*share && share-s.load >= r.pool.step*(1-1e-9)
}

func (r *run) smallest(s *slot) float64 {
	least := r.pool.step
	for _, u := range r.held[s.ID] {
		least = min(least, u.load())
	}
	return least
}

// next picks one move: from the fullest member that can give a unit.
func (r *run) next(p *Planner, now clock.Reading) (Move, bool) {
	needed := r.under && r.anyBelow()
	for {
		from := r.fullest()
		if from == nil || (!needed && !r.above(from, r.cfg.OverloadStopThreshold)) {
			return Move{}, false
		}
		if u, to := r.best(p, from, needed); u != nil {
			r.apply(u, from, to)
			return Move{Unit: u.ID, From: from.ID, To: to.ID}, true
		}
		r.stuck[from.ID] = true
	}
}

func (r *run) anyBelow() bool {
	for _, s := range r.pool.slots {
		if r.below(s, r.cfg.UnderloadStopThreshold) {
			return true
		}
	}
	return false
}

func (r *run) fullest() *slot {
	var best *slot
	for _, s := range r.pool.slots {
		if r.stuck[s.ID] {
			continue
		}
		if best == nil || cmp.Compare(s.load/s.Weight, best.load/best.Weight) > 0 ||
			(s.load/s.Weight == best.load/best.Weight && s.ID < best.ID) {
			best = s
		}
	}
	return best
}

// best returns the unit of from whose move evens out the two members most.
func (r *run) best(p *Planner, from *slot, needed bool) (*UnitInfo, *slot) {
	var pick *UnitInfo
	var pickTo *slot
	least := from.load / from.Weight
	for _, u := range r.held[from.ID] {
		if _, recent := p.moved[u.ID]; u.Fixed || recent {
			continue
		}
		to := r.pool.lowest(u)
		if to == nil || to == from {
			continue
		}
		if needed && !r.above(from, r.cfg.OverloadStopThreshold) && !r.below(to, r.cfg.UnderloadStopThreshold) {
			continue
		}
		top := max((from.load-u.load())/from.Weight, (to.load+u.load())/to.Weight)
		if top < least*(1-1e-9) {
			pick, pickTo, least = u, to, top
		}
	}
	return pick, pickTo
}

func (r *run) apply(u *UnitInfo, from, to *slot) {
	r.pool.add(from, -u.load())
	r.pool.add(to, u.load())
	i := slices.Index(r.held[from.ID], u)
	r.held[from.ID] = slices.Delete(r.held[from.ID], i, i+1)
	delete(r.stuck, from.ID)
}

// ForgetMove forgets that a unit was moved, because the move did not start.
func (p *Planner) ForgetMove(u shard.Unit) { delete(p.moved, u) }
