package outcome

import (
	"fmt"
	"time"
)

// Refusal is the error answer to a request that has no complete answer of its
// target.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is a hint for the earliest useful retry: the time from the refusal.
	// Zero means that there is no hint.
	RetryAfter time.Duration
	// Detail is a short text for human readers.
	Detail string
	// OwnerAddr is the peer address of the unit's owner, and OwnerEpoch the epoch of
	// that ownership. They are set with ReasonNotOwner if the gate that refused
	// knows the owner.
	OwnerAddr  string
	OwnerEpoch uint64
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s (%s)", r.Reason, r.Outcome)
	}
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// NewNotRun returns a refusal with outcome NotRun.
func NewNotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: detail}
}

// NewUnknown returns a refusal with outcome Unknown.
func NewUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Detail: detail}
}
