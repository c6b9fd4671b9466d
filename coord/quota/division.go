package quota

import (
	"math"
	"slices"
)

const (
	// headroom is what a process gets relative to its demand. Less refuses requests when
	// traffic varies.
	headroom = 1.25
	// reserveShare is the part of a limit that is kept for new processes while the
	// demand allows it.
	reserveShare = 0.2
	// maxSpare bounds the factor by which allotments exceed demand and headroom. More
	// would have to be taken back when others need it, which takes two renewals.
	maxSpare = 2
	// step is the relative change of an allotment that is worth a message.
	step = 0.1
)

// minPart is the least burst of an allotment. Smaller buckets are often full or empty at
// the wrong time: at the rate of the limit they admit a third less.
const minPart = 3

// isTooSmall reports whether the burst of a limit is too small to be divided among active
// processes. before is the last result.
func isTooSmall(limit Limit, active int, before bool) bool {
	part := sharedBurst(limit) / float64(max(active, 1))
	return part < minPart || before && part < minPart+1
}

// sharedBurst returns the burst without the reserve.
func sharedBurst(limit Limit) float64 {
	return limit.Burst - max(1, reserveShare*limit.Burst)
}

// divide returns the allotments of processes with the given demands, and whether they
// need all that is not reserved. All are zero if processes get single tokens.
func divide(limit Limit, demands []float64, single bool) (targets []Allotment, short bool) {
	targets = make([]Allotment, len(demands))
	needs, total, demand, active := make([]float64, len(demands)), 0.0, 0.0, 0
	for i, d := range demands {
		if d > 0 {
			needs[i] = headroom * d
			total += needs[i]
			demand += d
			active++
		}
	}
	if single || active == 0 {
		return targets, active > 0
	}
	shared := sharedBurst(limit)
	available := limit.Rate * (1 - reserveShare)
	short = total > available
	if short {
		// The headroom is in the reserve, for those that need it.
		rates := maxMin(needs, max(available, min(demand, limit.Rate)))
		for i := range rates {
			targets[i].Rate = rates[i]
		}
	} else {
		spare := min(maxSpare, available/total)
		for i := range needs {
			targets[i].Rate = needs[i] * spare
		}
	}
	sum := 0.0
	for _, t := range targets {
		sum += t.Rate
	}
	for i := range targets {
		if demands[i] > 0 {
			targets[i].Rate = roundDown(targets[i].Rate)
			targets[i].Burst = 1 + math.Floor((shared-float64(active))*targets[i].Rate/sum)
		}
	}
	return targets, short
}

// maxMin divides total by max-min fairness: no one gets more than it needs while another
// one gets less than an equal part.
func maxMin(needs []float64, total float64) []float64 {
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if needs[a] < needs[b] {
			return -1
		}
		return 1
	})
	parts := make([]float64, len(needs))
	for rank, i := range order {
		parts[i] = min(needs[i], total/float64(len(order)-rank))
		total -= parts[i]
	}
	return parts
}

// adjusted returns the allotment that a share gets next. Changes that make little
// difference are not made. free is what is neither counted for a process nor needed for
// the reserve.
func (s *share) adjusted(free Allotment, short bool) Allotment {
	counted := s.held.union(s.sent)
	limit := Allotment{Rate: counted.Rate + free.Rate, Burst: counted.Burst + free.Burst}
	next := s.sent
	switch need := min(s.demand*headroom, s.target.Rate); {
	case s.target.Rate == 0:
		next.Rate = 0
	case s.target.Rate > next.Rate*(1+step) && (need > next.Rate || short):
		next.Rate = max(next.Rate, min(s.target.Rate, limit.Rate))
	case next.Rate > s.target.Rate*(1+step) && (short || next.Rate > s.target.Rate*2*maxSpare):
		next.Rate = s.target.Rate
	}
	switch {
	case s.target.Burst == 0:
		next.Burst = 0
	case s.target.Burst > next.Burst*(1+step):
		next.Burst = max(next.Burst, min(s.target.Burst, limit.Burst))
	case next.Burst > s.target.Burst*(1+step):
		next.Burst = s.target.Burst
	}
	next.Rate, next.Burst = roundDown(next.Rate), roundDown(next.Burst)
	if next.Burst < 1 || next.Rate == 0 {
		return Allotment{} // cannot hold a whole token, or never gets one
	}
	return next
}
