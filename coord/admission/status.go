package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
)

// Status is a snapshot of a limiter for load reports and metrics.
type Status struct {
	// Running is the number of requests at the target.
	Running int
	// Limit is the number of requests that may run now. Running may exceed it for
	// a while after the limit was lowered.
	Limit int
	// Queued is the number of waiting requests.
	Queued int
	// RampShare is the progress of the ramp between 0 and 1.
	RampShare float64
	// MedianServiceTime is the median of the last 31 answers; zero if there are
	// none.
	MedianServiceTime time.Duration
	// UsualServiceTime is the baseline that service times are compared with to
	// detect a slow target; zero if there are too few answers.
	UsualServiceTime time.Duration
	// ColdRestarts counts how often the ramp was restarted because the target
	// stalled or was slow while few requests ran. A restart of a ramp that had no
	// progress is not counted.
	ColdRestarts int
	// Reductions counts how often the limit was halved because many answers were
	// slow while many requests ran. Without a ramp it counts too, but the limit
	// stays at Slots.
	Reductions int
}

// Status returns the state at now. It restarts the ramp of a stalled target.
func (l *Limiter) Status(now clock.Reading) Status {
	l.checkStall(now)
	return Status{
		Running:           l.running.len(),
		Limit:             l.ramp.limit(),
		Queued:            l.queue.len(),
		RampShare:         l.ramp.fraction(),
		MedianServiceTime: l.serviceTime.median(),
		UsualServiceTime:  l.serviceTime.baseline,
		ColdRestarts:      l.coldRestarts,
		Reductions:        l.reductions,
	}
}

// Load returns the number of requests at the target, the limit of concurrent
// requests and the number of waiting requests. It costs less than Status and
// does not check for a stall.
func (l *Limiter) Load() (running, limit, queued int) {
	return l.running.len(), l.ramp.limit(), l.queue.len()
}
