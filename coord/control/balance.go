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

// balanceJitter is the random part of the rebalancing interval, as a share of
// it. It keeps rebalancing from always running in the same tick as other
// periodic work.
const balanceJitter = 0.1

// maxActionMoves bounds the moves in one pending action to limit the size of its
// log entry.
const maxActionMoves = 1_000

// balance proposes moves that even out the load of members, within the limits on
// moves, and then plans hot keys. It does nothing until the next rebalancing is due.
func (c *Controller) balance(now clock.Reading, s *State) {
	if now.Mono < c.nextBalance.Mono {
		return
	}
	elapsedMinutes := now.MonoSince(c.lastBalance).Minutes()
	interval := c.cfg.RebalanceInterval
	c.lastBalance = now
	c.nextBalance = now.Add(interval + time.Duration(float64(interval)*balanceJitter*c.rng.Float64()))
	c.updateLimiter(s)
	for _, service := range c.services(s) {
		c.balanceService(now, s, service, elapsedMinutes)
	}
	c.planHotKeys(now, s)
}

// services returns the names of the services with key spaces, sorted.
func (c *Controller) services(s *State) []string {
	var out []string
	for _, k := range s.keyspaces {
		out = append(out, k.Service)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (c *Controller) balanceService(now clock.Reading, s *State, service string, elapsedMinutes float64) {
	members := c.candidates(now, s, service)
	if len(members) < 2 {
		return
	}
	// A cold target keeps its units: otherwise they would move away for the
	// length of the ramp and then back. The ramp only limits new units.
	for i := range members {
		members[i].Weight = 1
	}
	units := c.serviceUnits(s, service)
	perMinute := max(float64(c.cfg.MovesPerMinute), c.cfg.MaxMoveSharePerMinute*float64(len(units)))
	burst := max(perMinute*2*c.cfg.RebalanceInterval.Minutes(), 1)
	c.moveBudgets[service] = min(c.moveBudgets[service]+perMinute*elapsedMinutes, burst)
	planner := c.planner(service)
	if !s.doc.Automation.Allowed(config.ActionRebalance) {
		// An operator approves all moves at once, so MovesPerMinute does not apply.
		c.proposeMoves(now, s, service, planner.Rebalance(now, units, members, maxActionMoves))
		return
	}
	moves := planner.Rebalance(now, units, members, int(c.moveBudgets[service]))
	for _, m := range moves {
		move := BeginMove{Unit: m.Unit, Epoch: s.tbl.Entry(m.Unit).Epoch, To: m.To}
		if c.rampAllows(now, s, m.To, float64(len(units))/float64(len(members))) && c.tryStartMove(now, s, move) && c.propose(now, Command{BeginMove: &move}) {
			c.moveBudgets[service]--
		} else {
			planner.ForgetMove(m.Unit)
		}
	}
}

// rampAllows reports whether rebalancing may move one more unit to a member.
// During slow start a member gets at most the ramp's fraction of meanUnits, the mean
// number of units per member, and at least one unit.
func (c *Controller) rampAllows(now clock.Reading, s *State, to table.MemberID, meanUnits float64) bool {
	r := s.members[to]
	if r == nil {
		return false
	}
	h := s.unitsOf(to)
	have := float64(len(h.owned) + len(h.incoming))
	ramp := c.ramp(now, s, &r.Member)
	return ramp >= 1 || have < max(ramp*meanUnits, 1)
}

// proposeMoves proposes moves as an action for operators, because automatic
// rebalancing is off.
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

// serviceUnits returns the units of a service as input of the planner. The load
// of a unit is relative to the mean. All units have load 1 while the mean
// reported rate is below MinUnitRate.
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
			u.Fixed = e.Phase != table.Serving || c.hasProposal(e.Unit)
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
			// An idle unit still costs its owner something, so it counts as 1% of
			// the mean load and idle units are spread too.
			units[i].Load = max(units[i].Load/mean, 0.01)
		}
	}
	return units
}
