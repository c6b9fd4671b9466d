package admission

import (
	"math"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// Class is the priority class of a request. It decides which requests are
// refused first under overload. An unknown value counts as Browse.
type Class uint8

const (
	// Browse requests are refused first.
	Browse Class = iota
	// Payment requests run before waiting browse requests and are refused last.
	Payment

	numClasses = 2
)

// String implements fmt.Stringer.
func (c Class) String() string {
	if c == Payment {
		return "payment"
	}
	return "browse"
}

// Request is one request that asks for a slot.
type Request struct {
	// ID is unique among the limiter's waiting and running requests.
	ID    uint64
	Class Class
	// Deadline is when the caller stops waiting for the answer. The zero reading
	// means that there is no deadline.
	Deadline clock.Reading
}

// remaining returns the time until the deadline by the clock that shows less
// time: a step forward of either clock counts, because the suspension of a
// machine may advance only one of them.
func (r *Request) remaining(now clock.Reading) time.Duration {
	if r.Deadline.IsZero() {
		return math.MaxInt64
	}
	return min(r.Deadline.Mono-now.Mono, r.Deadline.Wall-now.Wall)
}

// Sample is the measurement of one request that ended.
type Sample struct {
	// ServiceTime is the time from dispatch to the answer, without the time in
	// the queue. Zero means the time since the limiter started the request.
	ServiceTime time.Duration
	// Failed marks an exchange without a complete answer. It is recorded only if
	// its service time is slow, and then only as a slow sample.
	Failed bool
}

// Kind states what the caller has to do with a request.
type Kind uint8

const (
	// Start means that the request must be dispatched now.
	Start Kind = iota
	// Refuse means that the request must be answered with Action.Refusal.
	Refuse
)

// Action is a decision about one request, to be carried out by the caller.
type Action struct {
	ID   uint64
	Kind Kind
	// Refusal is set for Refuse; its outcome is always not-run.
	Refusal *outcome.Refusal
}
