package outcome

import (
	"fmt"
	"time"
)

// Refusal is the error for a request that is not answered by its target.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is a hint for the earliest useful repeat; zero gives none.
	RetryAfter time.Duration
	// Detail is a short text for people.
	Detail string
	// OwnerAddr is set with ReasonNotOwner if the refusing gate knows who serves
	// the unit: the owner's peer address, at OwnerEpoch.
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

// NewNotRun returns a NotRun refusal.
func NewNotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: detail}
}

// NewUnknown returns an Unknown refusal.
func NewUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Detail: detail}
}
