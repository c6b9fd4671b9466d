package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// ramp is the limit of a target that was cold. Its progress is the time during
// which the target answered; time without any answer counts only up to the
// idle credit. A target that was idle or stalled after its start is still
// cold, and wall time alone would give it the full load at once.
type ramp struct {
	start, slots int
	duration     time.Duration
	// progress is between 0 and duration.
	progress time.Duration
	credited clock.Reading
	// suspected is set while the ramp follows a suspicion, not an announced start.
	suspected bool
}

// limit is the number of requests that the target may run.
func (r *ramp) limit() int {
	if r.progress >= r.duration {
		return r.slots
	}
	return r.start + int(int64(r.slots-r.start)*int64(r.progress)/int64(r.duration))
}

// share is the progress between 0 and 1.
func (r *ramp) share() float64 {
	if r.duration == 0 {
		return 1
	}
	return float64(r.progress) / float64(r.duration)
}

func (r *ramp) configure(c *Config) {
	share := r.share()
	r.start, r.slots = c.RampStartSlots, c.Slots
	r.duration = c.RampDuration
	r.progress = time.Duration(share * float64(r.duration))
}

func (r *ramp) restart(now clock.Reading, suspected bool) {
	r.progress, r.credited, r.suspected = 0, now, suspected
}

// halve lowers the limit to half its present value.
func (r *ramp) halve(now clock.Reading) {
	if target := r.limit() / 2; target <= r.start {
		r.progress = 0
	} else {
		r.progress = r.duration * time.Duration(target-r.start) / time.Duration(r.slots-r.start)
		// The division rounds down, which would give one request less.
		r.progress = min(r.progress+1, r.duration)
	}
	r.credited, r.suspected = now, true
}

// credit adds the time since the last credit, at most longest, times speed.
func (r *ramp) credit(now clock.Reading, longest time.Duration, speed float64) {
	elapsed := min(now.MonoSince(r.credited), longest)
	r.credited = now
	if r.progress >= r.duration {
		r.suspected = false
		return
	}
	r.progress = min(r.progress+time.Duration(float64(elapsed)*speed), r.duration)
}
