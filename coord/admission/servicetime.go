package admission

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// recentSamples is the number of samples in the recent median. An odd number
// has a middle; 31 outlast a few outliers and cover a fraction of a second at
// hundreds of requests a second.
const recentSamples = 31

// levelSamples is the number of samples from which a level is known.
const levelSamples = 15

// maxWeight bounds the influence of one sample on the level after a long time
// without samples.
const maxWeight = 0.05

// serviceTime estimates the service time of one target: exact order statistics
// of the last samples, and the level over a longer time.
type serviceTime struct {
	ring   [recentSamples]time.Duration
	sorted [recentSamples]time.Duration
	n      int
	next   int
	// level is zero until enough samples were seen.
	level   time.Duration
	levelAt clock.Reading
}

func (s *serviceTime) add(now clock.Reading, d, period time.Duration) {
	if s.n == recentSamples {
		old, _ := slices.BinarySearch(s.sorted[:], s.ring[s.next])
		copy(s.sorted[old:], s.sorted[old+1:])
		s.n--
	}
	at, _ := slices.BinarySearch(s.sorted[:s.n], d)
	copy(s.sorted[at+1:s.n+1], s.sorted[at:s.n])
	s.sorted[at] = d
	s.n++
	s.ring[s.next] = d
	s.next = (s.next + 1) % recentSamples
	s.follow(now, d, period)
}

// follow moves the level. A sample counts for at most twice the level, so that
// a short slow phase hardly moves it; a lasting change is accepted after about
// one period for each doubling.
func (s *serviceTime) follow(now clock.Reading, d, period time.Duration) {
	elapsed := now.MonoSince(s.levelAt)
	s.levelAt = now
	if s.level == 0 {
		if s.n >= levelSamples {
			s.level = max(s.median(), 1)
		}
		return
	}
	weight := min(float64(elapsed)/float64(period), maxWeight)
	s.level += time.Duration(weight * float64(min(d, 2*s.level)-s.level))
	// A target that has become much faster has warmed up: the level that it had
	// while cold would hide that it turns cold again.
	if m := s.median(); s.n == recentSamples && s.level > 2*m {
		s.level = 2 * m
	}
	s.level = max(s.level, 1)
}

// median returns the median of the last samples, or zero without samples.
func (s *serviceTime) median() time.Duration {
	if s.n == 0 {
		return 0
	}
	return s.sorted[s.n/2]
}

// fastest returns the shortest of the last samples, or zero without samples.
func (s *serviceTime) fastest() time.Duration {
	if s.n == 0 {
		return 0
	}
	return s.sorted[0]
}
