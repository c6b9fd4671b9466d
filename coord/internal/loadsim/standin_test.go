package loadsim

import (
	"math"
	"math/rand/v2"
	"time"
)

// slowPhase is a time in which a target works at 1/factor of its speed.
type slowPhase struct {
	from, to time.Duration
	factor   float64
}

// standIn is a target: log-normal service times, slow phases, and a cold state
// in which it runs fewer requests well and collapses under more.
type standIn struct {
	loop   *loop
	random *rand.Rand
	slots  int
	mean   time.Duration
	phases []slowPhase
	// warmUp is the time of work after which a cold target is warm; zero means
	// that it is never cold.
	warmUp  time.Duration
	warmth  float64
	updated time.Duration
	running int
}

const (
	serviceSigma = 0.5
	// coldSlowdown is the service time of a cold target over that of a warm one.
	coldSlowdown = 5
	// collapseFactor is the load over the present capacity above which a cold
	// target makes no progress in warming up.
	collapseFactor = 2
)

func (s *standIn) turnCold() { s.update(); s.warmth = 0 }

// capacity is the number of requests that the target runs well now.
func (s *standIn) capacity() float64 { return 1 + float64(s.slots-1)*s.warmth }

func (s *standIn) update() {
	elapsed := s.loop.now - s.updated
	s.updated = s.loop.now
	if s.warmUp == 0 {
		s.warmth = 1
	} else if s.running > 0 && float64(s.running) <= collapseFactor*s.capacity() {
		s.warmth = min(1, s.warmth+float64(elapsed)/float64(s.warmUp))
	}
}

// dispatch runs one request and returns the time that it takes.
func (s *standIn) dispatch() time.Duration {
	s.update()
	s.running++
	work := float64(s.mean) * math.Exp(serviceSigma*s.random.NormFloat64()-serviceSigma*serviceSigma/2)
	work *= 1 + (coldSlowdown-1)*(1-s.warmth)
	if over := float64(s.running) / s.capacity(); over > 1 {
		work *= over * over
	}
	return s.finish(s.loop.now, work) - s.loop.now
}

func (s *standIn) end() { s.update(); s.running-- }

// finish returns when work that starts now is complete, given the slow phases.
func (s *standIn) finish(at time.Duration, work float64) time.Duration {
	for _, p := range s.phases {
		if p.to <= at {
			continue
		}
		if done := at + time.Duration(work); done <= p.from {
			return done
		}
		if at < p.from {
			work -= float64(p.from - at)
			at = p.from
		}
		if done := at + time.Duration(work*p.factor); done <= p.to {
			return done
		}
		work -= float64(p.to-at) / p.factor
		at = p.to
	}
	return at + time.Duration(work)
}
