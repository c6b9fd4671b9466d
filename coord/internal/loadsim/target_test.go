package loadsim

import (
	"math"
	"math/rand/v2"
	"time"
)

// slowPhase is a time in which a target runs at 1/factor of its speed.
type slowPhase struct {
	from, to time.Duration
	factor   float64
}

// simulatedTarget simulates a target with log-normal service times, slow phases
// and a cold state: a cold target is slower, can run fewer requests at once
// without becoming slower still, and does not warm up if it has to run many
// more.
type simulatedTarget struct {
	loop   *eventLoop
	random *rand.Rand
	slots  int
	mean   time.Duration
	phases []slowPhase
	// warmUp is the time with running requests after which a cold target is warm;
	// zero means that it is never cold.
	warmUp time.Duration
	// warmth is 0 for a cold target and rises to 1 for a warm one.
	warmth  float64
	updated time.Duration
	running int
}

const (
	// serviceSigma is the standard deviation of the logarithm of the service time.
	serviceSigma = 0.5
	// coldSlowdown is the ratio of the service time of a cold target to that of a
	// warm one.
	coldSlowdown = 5
	// collapseFactor is the ratio of running requests to the present capacity above
	// which a cold target does not become warmer.
	collapseFactor = 2
)

func (t *simulatedTarget) turnCold() { t.update(); t.warmth = 0 }

// capacity is the number of requests that the target can run at once now without
// becoming slower.
func (t *simulatedTarget) capacity() float64 { return 1 + float64(t.slots-1)*t.warmth }

// update changes the warmth by the time since the last call.
func (t *simulatedTarget) update() {
	elapsed := t.loop.now - t.updated
	t.updated = t.loop.now
	if t.warmUp == 0 {
		t.warmth = 1
	} else if t.running > 0 && float64(t.running) <= collapseFactor*t.capacity() {
		t.warmth = min(1, t.warmth+float64(elapsed)/float64(t.warmUp))
	}
}

// dispatch starts one request and returns the time that it takes.
func (t *simulatedTarget) dispatch() time.Duration {
	t.update()
	t.running++
	work := float64(t.mean) * math.Exp(serviceSigma*t.random.NormFloat64()-serviceSigma*serviceSigma/2)
	work *= 1 + (coldSlowdown-1)*(1-t.warmth)
	// Above the capacity, the service time grows with the square of the overload.
	if overload := float64(t.running) / t.capacity(); overload > 1 {
		work *= overload * overload
	}
	return t.completionTime(t.loop.now, work) - t.loop.now
}

func (t *simulatedTarget) end() { t.update(); t.running-- }

// completionTime returns when work that starts at the time at is complete, given
// the slow phases. Work is in nanoseconds at full speed.
func (t *simulatedTarget) completionTime(at time.Duration, work float64) time.Duration {
	for _, p := range t.phases {
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
