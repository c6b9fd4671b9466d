package balancer

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Pick implements Selector. A suspect is selected as a probe, if all others
// are crowded, or if there is no other target: ejection never empties a service.
func (c *Balancer) Pick(now clock.Reading, exclude ...table.MemberID) (table.MemberID, bool) {
	return c.pick(now, true, exclude)
}

// PickWithoutProbe is Pick for requests that cannot be hedged. They are no probes,
// because nothing would help them if the suspect is still slow.
func (c *Balancer) PickWithoutProbe(now clock.Reading, exclude ...table.MemberID) (table.MemberID, bool) {
	return c.pick(now, false, exclude)
}

func (c *Balancer) pick(now clock.Reading, probe bool, exclude []table.MemberID) (table.MemberID, bool) {
	c.picks++
	var healthy, suspect best
	for i := range c.comparisons() {
		s := c.candidate(i)
		late := c.late(s)
		c.review(now, s, late)
		if !s.eligible(exclude) {
			continue
		}
		if !s.suspect.active || !c.ejection {
			c.compare(&healthy, now, s)
			continue
		}
		if probe && c.probeDue(now, s, late) {
			c.probed(now, s)
			return s.ID, true
		}
		c.compare(&suspect, now, s)
	}
	switch {
	case healthy.state == nil && suspect.state == nil:
		return c.any(now, exclude)
	case healthy.state == nil, suspect.state != nil && healthy.cost > crowded && suspect.cost < healthy.cost/c.slowdown():
		return suspect.state.ID, true
	}
	return healthy.state.ID, true
}

// best is the least costly target so far and the number of equal ones.
type best struct {
	state *state
	cost  float64
	equal int
}

// compare keeps the less costly target. Among equal ones the near data centre
// wins, then chance.
func (c *Balancer) compare(b *best, now clock.Reading, s *state) {
	cost := s.cost(now, &c.config)
	if b.state == nil {
		*b = best{s, cost, 1}
		return
	}
	difference := (cost - b.cost) * float64(max(s.Slots, 1))
	near, bestNear := c.near(s), c.near(b.state)
	switch {
	case difference >= sameCost, difference > -sameCost && bestNear && !near:
	case difference <= -sameCost, near && !bestNear:
		*b = best{s, cost, 1}
	default:
		b.equal++
		if c.random.IntN(b.equal) == 0 {
			b.state, b.cost = s, min(b.cost, cost)
		}
	}
}

func (c *Balancer) near(s *state) bool {
	return c.config.DataCentre != "" && s.DataCentre == c.config.DataCentre
}

// slowdown is the least ratio by which a suspect counts as slower.
func (c *Balancer) slowdown() float64 { return c.config.SlowFactor }

// comparisons is the number of candidates of one pick.
func (c *Balancer) comparisons() int { return min(len(c.targets), c.config.Candidates) }

// candidate returns every target if there are few, otherwise a random one.
func (c *Balancer) candidate(i int) *state {
	if len(c.targets) <= c.config.Candidates {
		return c.targets[i]
	}
	return c.targets[c.random.IntN(len(c.targets))]
}

// any compares all targets, for the case that no random candidate was eligible.
func (c *Balancer) any(now clock.Reading, exclude []table.MemberID) (table.MemberID, bool) {
	var b best
	for _, s := range c.targets {
		if s.eligible(exclude) {
			c.compare(&b, now, s)
		}
	}
	if b.state == nil {
		return "", false
	}
	return b.state.ID, true
}

// probeDue reports whether the suspect gets this request. There is no probe
// while an earlier request is late, because its end will tell as much. After a
// normal answer the remaining probes follow at once.
func (c *Balancer) probeDue(now clock.Reading, s *state, late time.Duration) bool {
	p := &s.suspect
	if s.overdue(now, late) > 0 || p.normal+len(s.starts) >= c.config.ReinstateAfterSuccesses {
		return false
	}
	if p.normal > 0 {
		return true
	}
	waited := now.Mono - p.probed
	if len(s.starts) > 0 || waited < p.interval {
		return false
	}
	return c.picks-p.picks >= uint64(c.config.MinPicksBetweenProbes) || waited >= c.config.MaxProbeInterval
}

func (c *Balancer) probed(now clock.Reading, s *state) {
	c.counters.Probes++
	p := &s.suspect
	p.probed, p.picks = now.Mono, c.picks
	// Jitter keeps the probes of several processes apart.
	p.interval = min(2*p.interval, c.config.MaxProbeInterval)
	p.interval -= time.Duration(c.random.Int64N(int64(p.interval)/4 + 1))
}
