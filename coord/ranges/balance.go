package ranges

import "bramleyquay.example/coord/quality"

// holderLoads compares the load of each candidate with its capacity.
type holderLoads struct {
	// load is the load of each candidate's ranges as a fraction of the total load.
	// capacityFraction is its capacity, multiplied by its weight, as a fraction of the
	// total. Both are equal if the load is balanced.
	load, capacityFraction []float64
	// retainedFraction is the load that a candidate keeps: capacityFraction, or its
	// capacity without weights as a fraction of the total if that is more. A move
	// interrupts the keys for about a second, so moves off targets that are bad for
	// some seconds lose more requests than the targets fail.
	retainedFraction []float64
	numRanges        []int
}

// add counts a range of the given load for candidate i.
func (l *holderLoads) add(i int, load float64) {
	l.load[i] += load
	l.numRanges[i]++
}

// newHolderLoads returns the loads of the candidates by their current ranges,
// without those whose release is requested.
func newHolderLoads(ranges []Range, candidates []Candidate, weights *Load) *holderLoads {
	n := len(candidates)
	l := &holderLoads{load: make([]float64, n), capacityFraction: make([]float64, n), retainedFraction: make([]float64, n), numRanges: make([]int, n)}
	total, weightedTotal := 0.0, 0.0
	capacity := capacities(candidates)
	for i, c := range capacity {
		total += c
		weightedTotal += c * float64(quality.Normalize(candidates[i].Weight))
	}
	indexes := map[Holder]int{}
	for i, c := range candidates {
		l.capacityFraction[i] = capacity[i] * float64(quality.Normalize(c.Weight)) / weightedTotal
		l.retainedFraction[i] = max(l.capacityFraction[i], capacity[i]/total)
		indexes[c.Holder] = i
	}
	for _, r := range ranges {
		if i, ok := indexes[r.Holder]; ok && !r.Releasing {
			l.add(i, weights.ofRange(r))
		}
	}
	return l
}

// leastLoaded returns the index of the candidate with the least load relative to its
// capacity among those with fewer than maxRanges ranges, or -1 if there is none.
func (l *holderLoads) leastLoaded(maxRanges int) int {
	best := -1
	for i := range l.load {
		if l.numRanges[i] < maxRanges && (best < 0 || l.load[i]/l.capacityFraction[i] < l.load[best]/l.capacityFraction[best]) {
			best = i
		}
	}
	return best
}

// mostLoaded returns the index of the candidate with the highest load relative to
// what it retains.
func (l *holderLoads) mostLoaded() int {
	best := 0
	for i := range l.load {
		if l.load[i]/l.retainedFraction[i] > l.load[best]/l.retainedFraction[best] {
			best = i
		}
	}
	return best
}
