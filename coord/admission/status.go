package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// Status is a snapshot of a limiter for load reports and metrics.
type Status struct {
	// Running is the number of requests at the target.
	Running int
	// Limit is the number of requests that may run now.
	Limit int
	// Queued is the number of waiting requests.
	Queued int
	// RampShare is the progress of the ramp between 0 and 1.
	RampShare float64
	// MedianServiceTime is the median of the last 31 answers; zero without any.
	MedianServiceTime time.Duration
	// UsualServiceTime is the recent level that slow answers are compared with.
	UsualServiceTime time.Duration
	// ColdRestarts counts ramps that started again by suspicion.
	ColdRestarts int
	// Reductions counts how often the limit was halved because many answers
	// were slow while many requests ran.
	Reductions int
}

// Status returns the present state.
func (l *Limiter) Status(now clock.Reading) Status {
	l.checkStall(now)
	return Status{
		Running:           l.running.len(),
		Limit:             l.ramp.limit(),
		Queued:            l.queue.len(),
		RampShare:         l.ramp.share(),
		MedianServiceTime: l.service.median(),
		UsualServiceTime:  l.service.level,
		ColdRestarts:      l.coldRestarts,
		Reductions:        l.reductions,
	}
}

// Load returns the requests at the target, those that may run now and those
// that wait. It costs less than Status.
func (l *Limiter) Load() (running, limit, queued int) {
	return l.running.len(), l.ramp.limit(), l.queue.len()
}
