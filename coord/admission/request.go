package admission

import (
	"math"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// Class states how late a request is given up under overload.
type Class uint8

const (
	// Browse requests are refused first.
	Browse Class = iota
	// Payment requests run before waiting browse requests and are refused last.
	Payment

	classes = 2
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
	// ID is unique among the requests that the limiter holds.
	ID    uint64
	Class Class
	// Deadline is the end of the caller's interest. The zero reading sets none.
	Deadline clock.Reading
}

// remaining returns the time until the deadline. A step forward of either
// clock counts, because a suspended machine may show it on one clock only.
func (r *Request) remaining(now clock.Reading) time.Duration {
	if r.Deadline.IsZero() {
		return math.MaxInt64
	}
	return min(r.Deadline.Mono-now.Mono, r.Deadline.Wall-now.Wall)
}

// Sample is what the target's answer to one request shows.
type Sample struct {
	// ServiceTime is the time from dispatch to the answer, without the time in
	// the queue. Zero stands for the time since the limiter started the request.
	ServiceTime time.Duration
	// Failed marks an exchange without a complete answer. Its service time
	// counts only if it is long.
	Failed bool
}

// Kind is the kind of an action.
type Kind uint8

const (
	// Start means that the request must be dispatched now.
	Start Kind = iota
	// Refuse means that the request must be answered with Action.Refusal.
	Refuse
)

// Action is a decision about one request.
type Action struct {
	ID   uint64
	Kind Kind
	// Refusal is set for Refuse; its outcome is always not-run.
	Refusal *outcome.Refusal
}
