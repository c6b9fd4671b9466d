package admission

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// recentSamples is the number of samples of the median. 31 samples cover a
// fraction of a second at hundreds of requests a second, and a few outliers
// hardly change their median; an odd number has a middle.
const recentSamples = 31

// minBaselineSamples is the number of samples that the baseline starts from.
const minBaselineSamples = 15

// maxSampleWeight bounds the weight of one sample in the baseline after a long
// time without samples.
const maxSampleWeight = 0.05

// serviceTime estimates the service time of one target: exact order statistics
// of the last samples, and a baseline, the moving average over a longer time.
type serviceTime struct {
	recent [recentSamples]time.Duration
	sorted [recentSamples]time.Duration
	count  int
	next   int
	// baseline is zero until there are minBaselineSamples samples.
	baseline        time.Duration
	baselineUpdated clock.Reading
}

func (s *serviceTime) add(now clock.Reading, d, timeConstant time.Duration) {
	if s.count == recentSamples {
		old, _ := slices.BinarySearch(s.sorted[:], s.recent[s.next])
		copy(s.sorted[old:], s.sorted[old+1:])
		s.count--
	}
	at, _ := slices.BinarySearch(s.sorted[:s.count], d)
	copy(s.sorted[at+1:s.count+1], s.sorted[at:s.count])
	s.sorted[at] = d
	s.count++
	s.recent[s.next] = d
	s.next = (s.next + 1) % recentSamples
	s.updateBaseline(now, d, timeConstant)
}

// updateBaseline adds a sample to the baseline. A sample counts as at most twice
// the baseline, so that a short slow phase hardly changes it; a lasting change is
// accepted after about one time constant for each doubling.
func (s *serviceTime) updateBaseline(now clock.Reading, d, timeConstant time.Duration) {
	elapsed := now.MonoSince(s.baselineUpdated)
	s.baselineUpdated = now
	if s.baseline == 0 {
		if s.count >= minBaselineSamples {
			s.baseline = max(s.median(), 1)
		}
		return
	}
	weight := min(float64(elapsed)/float64(timeConstant), maxSampleWeight)
	s.baseline += time.Duration(weight * float64(min(d, 2*s.baseline)-s.baseline))
	// A target that has become much faster has warmed up. If the baseline stayed
	// at its cold state, becoming cold again would not be detected.
	if m := s.median(); s.count == recentSamples && s.baseline > 2*m {
		s.baseline = 2 * m
	}
	s.baseline = max(s.baseline, 1)
}

// median returns the median of the last samples, or zero if there are none.
func (s *serviceTime) median() time.Duration {
	if s.count == 0 {
		return 0
	}
	return s.sorted[s.count/2]
}

// fastest returns the shortest of the last samples, or zero if there are none.
func (s *serviceTime) fastest() time.Duration {
	if s.count == 0 {
		return 0
	}
	return s.sorted[0]
}
