package dispatch

import "time"

// pace spaces the starts of a cold target evenly: a burst within a second is
// what overloads it.
type pace struct {
	until time.Duration
	gap   time.Duration
	last  time.Duration
	begun bool
}

func (p *pace) set(now, until time.Duration, rate float64) {
	if rate <= 0 || until <= now {
		p.until, p.gap = 0, 0
		return
	}
	p.until, p.gap = until, time.Duration(float64(time.Second)/rate)
}

func (p *pace) active(now time.Duration) bool { return p.gap > 0 && now < p.until }

// take reports whether a request may start now, and counts it.
func (p *pace) take(now time.Duration) bool {
	if p.active(now) && p.begun && now-p.last < p.gap {
		return false
	}
	p.last, p.begun = now, true
	return true
}

// wait returns the time until a request behind others may start.
func (p *pace) wait(now time.Duration, ahead int) time.Duration {
	if !p.active(now) || !p.begun {
		return 0
	}
	w := p.last + time.Duration(ahead+1)*p.gap - now
	return max(min(w, p.until-now), 0)
}
