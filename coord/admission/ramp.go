package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// ramp is the concurrency limit of a target, which rises after a cold start.
// Its progress is the time during which the target answered; time without any
// answer counts only up to MaxIdleRampCredit. A target that was idle or stalled
// after its start is still cold, and elapsed time alone would give it the full
// load at once.
type ramp struct {
	startSlots, slots int
	duration          time.Duration
	// progress is between 0 and duration.
	progress   time.Duration
	lastCredit clock.Reading
	// suspected is set if the ramp was restarted or lowered because the target
	// was slow, not because of an announced start.
	suspected bool
}

// limit returns the number of requests that the target may run now.
func (r *ramp) limit() int {
	if r.progress >= r.duration {
		return r.slots
	}
	return r.startSlots + int(int64(r.slots-r.startSlots)*int64(r.progress)/int64(r.duration))
}

// fraction returns the progress between 0 and 1.
func (r *ramp) fraction() float64 {
	if r.duration == 0 {
		return 1
	}
	return float64(r.progress) / float64(r.duration)
}

// configure applies a new configuration and keeps the fraction that is complete.
func (r *ramp) configure(c *Config) {
	fraction := r.fraction()
	r.startSlots, r.slots = c.RampStartSlots, c.Slots
	r.duration = c.RampDuration
	r.progress = time.Duration(fraction * float64(r.duration))
}

func (r *ramp) restart(now clock.Reading, suspected bool) {
	r.progress, r.lastCredit, r.suspected = 0, now, suspected
}

// halve lowers the limit to half its present value, but not below startSlots.
func (r *ramp) halve(now clock.Reading) {
	if half := r.limit() / 2; half <= r.startSlots {
		r.progress = 0
	} else {
		r.progress = r.duration * time.Duration(half-r.startSlots) / time.Duration(r.slots-r.startSlots)
		// The division rounds down, which would give one request less.
		r.progress = min(r.progress+1, r.duration)
	}
	r.lastCredit, r.suspected = now, true
}

// credit adds the time since the last credit, but no more than maxElapsed, times
// speed to the progress.
func (r *ramp) credit(now clock.Reading, maxElapsed time.Duration, speed float64) {
	elapsed := min(now.MonoSince(r.lastCredit), maxElapsed)
	r.lastCredit = now
	if r.progress >= r.duration {
		r.suspected = false
		return
	}
	r.progress = min(r.progress+time.Duration(float64(elapsed)*speed), r.duration)
}
