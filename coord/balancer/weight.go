package balancer

import "bramleyquay.example/coord/quality"

// setDirectoryWeight sets the weight from the directory if it has changed there. The
// directory is later than the gate's answers, so an unchanged entry does not replace
// what they report.
func (s *targetState) setDirectoryWeight(weight int) {
	if s.weight == 0 || weight != s.Target.Weight {
		s.weight = quality.Normalize(weight)
	}
}

// totalWeights are the sums of the weights, and the highest weight, of the targets
// that may get a first try, near (in this data centre) and far.
type totalWeights struct {
	highest, near, far int
}

func (b *Balancer) totalWeights() totalWeights {
	var t totalWeights
	for _, s := range b.targets {
		if s.Draining || s.suspect.active && b.ejection {
			continue
		}
		t.highest = max(t.highest, s.weight)
		if b.sameDataCentre(s) {
			t.near += s.weight
		} else {
			t.far += s.weight
		}
	}
	return t
}

// yields reports whether a target leaves its place in the order to others because its
// weight is lower than the highest one; if all targets are bad, all count alike. The
// first try of a request takes such a target with the probability of its share of the
// weights in this data centre, or in the others, at most its weight relative to the
// highest one, so that it gets a trickle that shows when it has recovered, although it has
// few requests and looks idle. Later tries prefer other targets, because the request
// has lost time.
func (b *Balancer) yields(s *targetState, t totalWeights, firstTry bool) bool {
	if s.weight >= t.highest {
		return false
	}
	sum := t.far
	if b.sameDataCentre(s) {
		sum = t.near
	}
	return !firstTry || b.random.IntN(max(sum, t.highest)) >= s.weight
}
