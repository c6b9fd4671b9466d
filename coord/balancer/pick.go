package balancer

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Pick implements Selector. A suspect is selected only as a probe, if the best
// healthy target has a long queue, or if there is no other target: ejection
// never leaves a service without targets.
func (b *Balancer) Pick(now clock.Reading, exclude ...table.MemberID) (table.MemberID, bool) {
	return b.pick(now, true, exclude)
}

// PickWithoutProbe is Pick for requests that can't be hedged. They are not used as
// probes, because they would wait for a suspect that is still slow.
func (b *Balancer) PickWithoutProbe(now clock.Reading, exclude ...table.MemberID) (table.MemberID, bool) {
	return b.pick(now, false, exclude)
}

func (b *Balancer) pick(now clock.Reading, probe bool, exclude []table.MemberID) (table.MemberID, bool) {
	b.picks++
	var healthy, suspect cheapest
	for i := range b.numCandidates() {
		s := b.candidate(i)
		slowLatency := b.slowLatency(s)
		b.reviewTarget(now, s, slowLatency)
		if !s.eligible(exclude) {
			continue
		}
		if !s.suspect.active || !b.ejection {
			b.keepCheaper(&healthy, now, s)
			continue
		}
		if probe && b.probeDue(now, s, slowLatency) {
			b.recordProbe(now, s)
			return s.ID, true
		}
		b.keepCheaper(&suspect, now, s)
	}
	switch {
	case healthy.state == nil && suspect.state == nil:
		return b.pickAny(now, exclude)
	case healthy.state == nil, suspect.state != nil && healthy.cost > crowdedCost && suspect.cost < healthy.cost/b.minSlowdown():
		return suspect.state.ID, true
	}
	return healthy.state.ID, true
}

// cheapest is the target with the lowest cost so far, and the number of targets
// that count as equal to it.
type cheapest struct {
	state *targetState
	cost  float64
	ties  int
}

// keepCheaper replaces best by s if s has a lower cost. Among equal targets it
// prefers the same data centre and then chooses at random.
func (b *Balancer) keepCheaper(best *cheapest, now clock.Reading, s *targetState) {
	cost := s.cost(now, &b.config)
	if best.state == nil {
		*best = cheapest{s, cost, 1}
		return
	}
	difference := (cost - best.cost) * float64(max(s.Slots, 1))
	near, bestNear := b.sameDataCentre(s), b.sameDataCentre(best.state)
	switch {
	case difference >= costTolerance, difference > -costTolerance && bestNear && !near:
	case difference <= -costTolerance, near && !bestNear:
		*best = cheapest{s, cost, 1}
	default:
		best.ties++
		if b.random.IntN(best.ties) == 0 {
			best.state, best.cost = s, min(best.cost, cost)
		}
	}
}

func (b *Balancer) sameDataCentre(s *targetState) bool {
	return b.config.DataCentre != "" && s.DataCentre == b.config.DataCentre
}

// minSlowdown returns the factor by which a suspect is assumed to be slower than
// a healthy target.
func (b *Balancer) minSlowdown() float64 { return b.config.SlowFactor }

// numCandidates returns the number of targets that one pick compares.
func (b *Balancer) numCandidates() int { return min(len(b.targets), b.config.Candidates) }

// candidate returns the i-th target if all are compared, otherwise a random one.
func (b *Balancer) candidate(i int) *targetState {
	if len(b.targets) <= b.config.Candidates {
		return b.targets[i]
	}
	return b.targets[b.random.IntN(len(b.targets))]
}

// pickAny selects among all eligible targets, for when no random candidate was
// eligible.
func (b *Balancer) pickAny(now clock.Reading, exclude []table.MemberID) (table.MemberID, bool) {
	var best cheapest
	for _, s := range b.targets {
		if s.eligible(exclude) {
			b.keepCheaper(&best, now, s)
		}
	}
	if best.state == nil {
		return "", false
	}
	return best.state.ID, true
}

// probeDue reports whether the suspect gets this request as a probe. While an
// earlier request is overdue there is no probe, because the end of that request
// serves as one. After a normal answer the remaining probes follow at once. Requests
// in progress count as probes; no more are sent than are needed to reinstate the
// target.
func (b *Balancer) probeDue(now clock.Reading, s *targetState, slowLatency time.Duration) bool {
	p := &s.suspect
	if s.overdue(now, slowLatency) > 0 || p.normalInRow+len(s.starts) >= b.config.ReinstateAfterSuccesses {
		return false
	}
	if p.normalInRow > 0 {
		return true
	}
	sinceProbe := now.Mono - p.lastProbe
	if len(s.starts) > 0 || sinceProbe < p.probeInterval {
		return false
	}
	return b.picks-p.picksAtProbe >= uint64(b.config.MinPicksBetweenProbes) || sinceProbe >= b.config.MaxProbeInterval
}

// recordProbe counts a probe and sets the time until the next one.
func (b *Balancer) recordProbe(now clock.Reading, s *targetState) {
	b.counters.Probes++
	p := &s.suspect
	p.lastProbe, p.picksAtProbe = now.Mono, b.picks
	// Jitter keeps the probes of several processes apart.
	p.probeInterval = min(2*p.probeInterval, b.config.MaxProbeInterval)
	p.probeInterval -= time.Duration(b.random.Int64N(int64(p.probeInterval)/4 + 1))
}
