package backpressure

import (
	"math"
	"strings"
	"time"
)

// Call is a request at the ingress of the target's process that may be a call of the
// target.
type Call struct {
	// ID is the id of the request. If it begins with the id of a run and a dot, the call
	// belongs to that run.
	ID    string
	Route string
	// NoCall is set if the request has a client account, or is for the target's own
	// service. Calls of targets have no account, and are for other services.
	NoCall bool
}

// callRoute counts the requests of a route that entered at the process. Callers use the
// same ingress as the target, and calls cannot be told from their requests one by one.
type callRoute struct {
	updated time.Duration
	// requests are the recent requests, idle those that came while the target ran
	// nothing: they were not calls.
	requests, idle float64
}

const (
	// callRouteMemory is the time constant of the counts: with it they outlast a time
	// of overload, in which the target is never idle.
	callRouteMemory = 60 * time.Second
	// maxIdleShare is the share of requests at idle times from which the requests of a
	// route do not count as calls.
	maxIdleShare = 0.05
)

// CallStarted records a request at the ingress.
func (l *Limiter) CallStarted(now time.Duration, c Call) {
	r := l.calls[c.Route]
	if r == nil {
		r = &callRoute{updated: now}
		l.calls[c.Route] = r
	}
	decay := math.Exp(-float64(now-r.updated) / float64(callRouteMemory))
	r.requests, r.idle, r.updated = r.requests*decay+1, r.idle*decay, now
	if len(l.runs) == 0 {
		r.idle++
	}
}

// CallLackedRoom records that a request at the ingress got no useful answer for lack of
// room: the queue of a target refused it, or its deadline passed there. Refusals
// by the target itself must not be recorded, as fewer calls do not avoid them.
func (l *Limiter) CallLackedRoom(c Call) {
	for _, r := range l.runs {
		if strings.HasPrefix(c.ID, r.id+".") && r.id != "" {
			r.lackedRoom = true
			l.routes[r.route].lackedRoom++
			return
		}
	}
	known := l.calls[c.Route]
	if c.NoCall || known == nil || known.idle > maxIdleShare*known.requests {
		return
	}
	// One of the runs has made the call, each with the same probability.
	share := 1 / float64(max(len(l.runs), 1))
	for _, r := range l.runs {
		r.lackedRoom = true
		l.routes[r.route].lackedRoom += share
	}
}
