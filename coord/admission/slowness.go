package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// slowness counts slow samples: answers, and failed or cancelled requests,
// whose service time is more than SlowFactor times the baseline.
type slowness struct {
	// surplus is the number of slow samples less the number of other samples,
	// at least zero.
	surplus int
	// limitChanged is when the limit was last lowered because of slow answers or
	// a stall, or the incarnation changed. Requests that started earlier are not
	// counted, because they ran under another limit.
	limitChanged clock.Reading
}

func (s *slowness) reset(now clock.Reading) { s.surplus, s.limitChanged = 0, now }

// isSlow reports whether a service time is more than SlowFactor times the
// baseline.
func (l *Limiter) isSlow(d time.Duration) bool {
	return l.serviceTime.baseline > 0 && float64(d) > l.config.SlowFactor*float64(l.serviceTime.baseline)
}

// recordSlowness counts one service time. Once the surplus reaches
// SlowSampleSurplus, it lowers the limit. If few requests run (at most half of
// Slots, or RampStartSlots if that is more), the target is probably cold, and
// its ramp restarts. Otherwise the limit is halved: a target that becomes cold
// under full load is halved first, and restarted when few requests run.
func (l *Limiter) recordSlowness(now, start clock.Reading, d time.Duration) {
	if start.Mono < l.slowness.limitChanged.Mono {
		return
	}
	if !l.isSlow(d) {
		l.slowness.surplus = max(l.slowness.surplus-1, 0)
		return
	}
	l.slowness.surplus++
	if l.slowness.surplus < l.config.SlowSampleSurplus {
		return
	}
	// The request that just ended counts as running.
	if few := max(l.config.RampStartSlots, l.config.Slots/2); l.running.len()+1 <= few {
		l.restartRamp(now)
		return
	}
	l.reductions++
	l.ramp.halve(now)
	l.slowness.reset(now)
}

// restartRamp restarts the ramp of a target that is probably cold.
func (l *Limiter) restartRamp(now clock.Reading) {
	if l.ramp.progress > 0 {
		l.coldRestarts++
	}
	l.ramp.restart(now, true)
	l.slowness.reset(now)
}

// timeWithoutAnswer returns the time since the last answer or since the start of
// the oldest running request, whichever is shorter. It is zero if nothing runs.
func (l *Limiter) timeWithoutAnswer(now clock.Reading) time.Duration {
	if l.running.len() == 0 {
		return 0
	}
	return now.MonoSince(l.withoutAnswerSince())
}

// withoutAnswerSince returns the later of the last answer and the start of the
// oldest running request. At least one request must be running.
func (l *Limiter) withoutAnswerSince() clock.Reading {
	if oldest := l.running.starts[0]; oldest.Mono > l.lastAnswer.Mono {
		return oldest
	}
	return l.lastAnswer
}

// stallTimeout is the time without an answer from which a target counts as
// stalled.
func (l *Limiter) stallTimeout() time.Duration {
	return max(l.config.StallAfter, stallFactor*l.serviceTime.baseline)
}

// checkStall restarts the ramp of a target that has not answered for
// stallTimeout, once for each such time. It does nothing before there is a
// baseline.
func (l *Limiter) checkStall(now clock.Reading) {
	if l.running.len() == 0 || l.serviceTime.baseline == 0 {
		return
	}
	since := l.withoutAnswerSince()
	if now.MonoSince(since) < l.stallTimeout() || since.Mono < l.slowness.limitChanged.Mono {
		return
	}
	l.restartRamp(now)
}
