package balancer

import (
	"cmp"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Order returns the eligible targets in the order in which a request tries them
// for a free slot: first those in the same data centre, because answers from
// another one cost network traffic, then the others, then targets that yield because
// of their weight, then suspects, each group by expected delay. While tries in the same
// data centre are refused more often, the others come first for a part of the requests.
// A suspect that is due for a probe comes first. Load reports
// from other data centres arrive late; trying targets in turn finds a free slot
// without them.
//
// Order counts as one pick, and a suspect that comes first counts as probed, so the
// caller should send the request to the first target.
func (b *Balancer) Order(now clock.Reading, exclude ...table.MemberID) []table.MemberID {
	return b.order(now, true, exclude)
}

// OrderByCapacity is Order without regard to weights. It is for requests that would
// wait long at the targets of higher weight: the capacity of the others is needed.
func (b *Balancer) OrderByCapacity(now clock.Reading, exclude ...table.MemberID) []table.MemberID {
	return b.order(now, false, exclude)
}

func (b *Balancer) order(now clock.Reading, byWeight bool, exclude []table.MemberID) []table.MemberID {
	b.picks++
	type entry struct {
		id   table.MemberID
		tier int
		cost float64
	}
	var list []entry
	probe := false
	farFirst := b.room.farFirst(now.Mono, len(exclude) > 0, b.random.Float64())
	weights := b.totalWeights()
	for _, i := range b.random.Perm(len(b.targets)) {
		s := b.targets[i]
		slowLatency := b.slowLatency(s)
		b.reviewTarget(now, s, slowLatency)
		if !s.eligible(exclude) {
			continue
		}
		e := entry{id: s.ID, tier: farTier, cost: s.cost(now, &b.config)}
		switch {
		case s.suspect.active && b.ejection && !probe && b.probeDue(now, s, slowLatency):
			b.recordProbe(now, s)
			probe, e.tier = true, probeTier
		case s.suspect.active && b.ejection:
			e.tier = suspectTier
		case byWeight && b.yields(s, weights, len(exclude) == 0):
			e.tier = yieldingFarTier
			if b.sameDataCentre(s) {
				e.tier = yieldingNearTier
			}
		case b.sameDataCentre(s) && farFirst:
			e.tier = busyTier
		case b.sameDataCentre(s):
			e.tier = nearTier
		}
		list = append(list, e)
	}
	slices.SortStableFunc(list, func(x, y entry) int {
		return cmp.Or(cmp.Compare(x.tier, y.tier), cmp.Compare(x.cost, y.cost))
	})
	out := make([]table.MemberID, len(list))
	for i, e := range list {
		out[i] = e.id
	}
	return out
}

// Tiers of targets in Order, the first one first.
const (
	probeTier = iota
	nearTier
	farTier
	busyTier // in the same data centre, without room
	yieldingNearTier
	yieldingFarTier
	suspectTier
)
