package retry

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// Attempt describes a request after an attempt was refused or failed.
type Attempt struct {
	// Number of attempts made so far, at least 1.
	Number int
	// Idempotent requests may run more than once.
	Idempotent bool
	// Payment requests are repeated only after a proven not-run, whatever else
	// is said about them.
	Payment bool
	// Refusal is why the attempt ended. Nil stands for an unknown outcome.
	Refusal *outcome.Refusal
	// OtherTargetAvailable is set if a target that was not tried yet can take the request;
	// the wait that the refusing target asked for does not concern that one.
	OtherTargetAvailable bool
	// Deadline is the end of the caller's interest. The zero reading sets none.
	Deadline clock.Reading
}

// Decision says what to do after an attempt.
type Decision struct {
	Retry bool
	// Wait is the time before the repeat.
	Wait time.Duration
	// Denied is the reason for not repeating.
	Denied Denial
}

// Denial is why a request is not repeated.
type Denial string

const (
	// DeniedMayHaveRun: the request may have run and must not run twice.
	DeniedMayHaveRun Denial = "unsafe"
	// DeniedPermanent: a repeat would get the same answer.
	DeniedPermanent Denial = "useless"
	// DeniedMaxAttempts: the request has had its attempts.
	DeniedMaxAttempts Denial = "attempts"
	// DeniedDeadline: the repeat would come after the deadline.
	DeniedDeadline Denial = "deadline"
	// DeniedBudget: the share of extra requests is used up.
	DeniedBudget Denial = "budget"
	// DeniedDisabled: an operator turned repeats off.
	DeniedDisabled Denial = "switched-off"
)

// cause groups the reasons of refusals by what a repeat needs.
type cause uint8

const (
	// load: the target was too busy; a repeat adds load and needs budget.
	load cause = iota
	// routing: the request reached the wrong place or none. The repeat is its
	// first arrival at a target and adds no load there.
	routing
	// final: the answer does not change.
	final
)

func causeOf(r outcome.Reason) cause {
	switch r {
	case outcome.ReasonNoOwner, outcome.ReasonNotOwner, outcome.ReasonLeaseExpired, outcome.ReasonNoControl,
		outcome.ReasonDraining, outcome.ReasonConnectionFailed, outcome.ReasonOwnerRecovering:
		return routing
	case outcome.ReasonBadRequest, outcome.ReasonNoService, outcome.ReasonNoRule, outcome.ReasonBodyMismatch,
		outcome.ReasonRecordExpired, outcome.ReasonRecordsLost, outcome.ReasonInProgress:
		return final
	default:
		return load
	}
}
