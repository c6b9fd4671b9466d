package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// slowness collects evidence that the target is slower than usual.
type slowness struct {
	// surplus is the number of slow samples less the number of other samples,
	// at least zero.
	surplus int
	// since is the last change of the limit. Requests that started earlier ran
	// under another limit and say nothing about the present one.
	since clock.Reading
}

func (s *slowness) reset(now clock.Reading) { s.surplus, s.since = 0, now }

// slow reports whether a service time is well above the recent level.
func (l *Limiter) slow(d time.Duration) bool {
	return l.service.level > 0 && float64(d) > l.config.SlowFactor*float64(l.service.level)
}

// judge takes one service time into account. Slow answers while many requests
// run halve the limit; slow answers while few run mean that the target is cold.
// Halving first matters for a target that turns cold under full load, where few
// requests run only after the limit has fallen.
func (l *Limiter) judge(now, start clock.Reading, d time.Duration) {
	if start.Mono < l.slowness.since.Mono {
		return
	}
	if !l.slow(d) {
		l.slowness.surplus = max(l.slowness.surplus-1, 0)
		return
	}
	l.slowness.surplus++
	if l.slowness.surplus < l.config.SlowSampleSurplus {
		return
	}
	// The request that just ended counts as running.
	if few := max(l.config.RampStartSlots, l.config.Slots/2); l.running.len()+1 <= few {
		l.restart(now)
		return
	}
	l.reductions++
	l.ramp.halve(now)
	l.slowness.reset(now)
}

// restart begins the ramp again by suspicion.
func (l *Limiter) restart(now clock.Reading) {
	if l.ramp.progress > 0 {
		l.coldRestarts++
	}
	l.ramp.restart(now, true)
	l.slowness.reset(now)
}

// silence returns the time for which running requests have got no answer.
func (l *Limiter) silence(now clock.Reading) time.Duration {
	if l.running.len() == 0 {
		return 0
	}
	return now.MonoSince(l.silentSince())
}

func (l *Limiter) silentSince() clock.Reading {
	if oldest := l.running.starts[0]; oldest.Mono > l.lastAnswer.Mono {
		return oldest
	}
	return l.lastAnswer
}

// stallTime is the silence from which the target counts as stalled.
func (l *Limiter) stallTime() time.Duration {
	return max(l.config.StallAfter, stallFactor*l.service.level)
}

// checkStall restarts the ramp of a target that has stopped answering.
func (l *Limiter) checkStall(now clock.Reading) {
	if l.running.len() == 0 || l.service.level == 0 {
		return
	}
	since := l.silentSince()
	if now.MonoSince(since) < l.stallTime() || since.Mono < l.slowness.since.Mono {
		return
	}
	l.restart(now)
}
