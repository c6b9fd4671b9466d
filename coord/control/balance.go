package control

import (
	"fmt"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/placement"
	"bramleyquay.example/coord/table"
)

// balanceJitter spreads the work of balancing so that it does not always fall
// into the same tick as other periodic work, as a share of the interval.
const balanceJitter = 0.1

// maxActionMoves bounds the moves of one pending action, so that its log entry
// stays small.
const maxActionMoves = 1_000

// balance moves units for even load, within the limit on moves.
func (c *Controller) balance(now clock.Reading, s *State) {
	if now.Mono < c.balanceAt.Mono {
		return
	}
	elapsed := now.MonoSince(c.balanceLast).Minutes()
	interval := c.cfg.RebalanceInterval
	c.balanceLast = now
	c.balanceAt = now.Add(interval + time.Duration(float64(interval)*balanceJitter*c.rng.Float64()))
	c.observeMoves(s)
	for _, service := range c.services(s) {
		c.balanceService(now, s, service, elapsed)
	}
	c.planHotKeys(now, s)
}

func (c *Controller) services(s *State) []string {
	var out []string
	for _, k := range s.keyspaces {
		out = append(out, k.Service)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (c *Controller) balanceService(now clock.Reading, s *State, service string, elapsed float64) {
	members := c.candidates(now, s, service)
	if len(members) < 2 {
		return
	}
	// A cold target keeps what it has: moving its units away for the length of
	// a ramp would move them twice. The ramp limits what it receives.
	for i := range members {
		members[i].Weight = 1
	}
	units := c.serviceUnits(s, service)
	perMinute := max(float64(c.cfg.MovesPerMinute), c.cfg.MaxMoveSharePerMinute*float64(len(units)))
	burst := max(perMinute*2*c.cfg.RebalanceInterval.Minutes(), 1)
	c.budgets[service] = min(c.budgets[service]+perMinute*elapsed, burst)
	planner := c.planner(service)
	if !s.doc.Automation.Allowed(config.ActionRebalance) {
		// An operator decides on everything at once, so no limit applies.
		c.proposeMoves(now, s, service, planner.Rebalance(now, units, members, maxActionMoves))
		return
	}
	moves := planner.Rebalance(now, units, members, int(c.budgets[service]))
	for _, m := range moves {
		move := BeginMove{Unit: m.Unit, Epoch: s.tbl.Entry(m.Unit).Epoch, To: m.To}
		if c.rampAllows(now, s, m.To, float64(len(units))/float64(len(members))) && c.pace(now, s, move) && c.propose(now, Command{BeginMove: &move}) {
			c.budgets[service]--
		} else {
			planner.ForgetMove(m.Unit)
		}
	}
}

// rampAllows reports whether a member may receive one more unit for balance:
// its ramp's part of an even share, and at least one.
func (c *Controller) rampAllows(now clock.Reading, s *State, to table.MemberID, share float64) bool {
	r := s.members[to]
	if r == nil {
		return false
	}
	h := s.held(to)
	have := float64(len(h.owned) + len(h.next))
	ramp := c.ramp(now, s, &r.Member)
	return ramp >= 1 || have < max(ramp*share, 1)
}

// proposeMoves lists moves for an operator because balancing is off.
func (c *Controller) proposeMoves(now clock.Reading, s *State, service string, moves []placement.Move) {
	if len(moves) == 0 {
		return
	}
	a := ProposedAction{ID: "rebalance/" + service, Kind: config.ActionRebalance, Summary: fmt.Sprintf("move %d units of %s for even load", len(moves), service)}
	for _, m := range moves {
		c.planner(service).ForgetMove(m.Unit)
		a.Commands = append(a.Commands, Command{BeginMove: &BeginMove{Unit: m.Unit, Epoch: s.tbl.Entry(m.Unit).Epoch, To: m.To}})
	}
	c.proposeAction(now, s, a)
}

// serviceUnits returns the units of a service as the planner needs them. Units
// count equally unless their owners report enough load.
func (c *Controller) serviceUnits(s *State, service string) []placement.UnitInfo {
	var units []placement.UnitInfo
	total := 0.0
	for _, name := range sortedKeys(s.keyspaces) {
		k := s.keyspaces[name]
		if k.Service != service {
			continue
		}
		s.tbl.EachInKeyspace(name, func(e *table.Entry) bool {
			u := placement.UnitInfo{ID: e.Unit, Owner: e.Owner, DataCentres: k.DataCentres, Load: c.loads.of(e.Unit)}
			u.Fixed = e.Phase != table.Serving || c.busy(e.Unit)
			if e.Phase == table.Moving {
				u.Owner = e.NextOwner
			}
			total += u.Load
			units = append(units, u)
			return true
		})
	}
	mean := total / float64(max(len(units), 1))
	for i := range units {
		if mean < c.cfg.MinUnitRate {
			units[i].Load = 1
		} else {
			// An idle unit still costs its owner something.
			units[i].Load = max(units[i].Load/mean, 0.01)
		}
	}
	return units
}
