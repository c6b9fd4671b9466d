package retry

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// Attempt describes a request whose last attempt was refused or failed.
type Attempt struct {
	// Number of attempts made so far, at least 1.
	Number int
	// Idempotent requests may run more than once.
	Idempotent bool
	// Payment requests are retried only if the outcome is not-run, even if
	// Idempotent is set.
	Payment bool
	// Refusal is why the attempt ended. Nil means an unknown outcome.
	Refusal *outcome.Refusal
	// OtherTargetAvailable is set if a target that was not tried yet can take the
	// request. The retry is then sent without delay, because the RetryAfter of the
	// refusal applies only to the target that refused.
	OtherTargetAvailable bool
	// Deadline is when the caller stops waiting for the answer. The zero reading
	// means that there is no deadline.
	Deadline clock.Reading
}

// Decision is whether and when a request is retried after an attempt.
type Decision struct {
	Retry bool
	// Wait is the time to wait before the retry.
	Wait time.Duration
	// Denied is why the request is not retried; empty if it is.
	Denied Denial
}

// Denial is why a request is not retried.
type Denial string

const (
	// DeniedMayHaveRun: the request may have run and must not run twice.
	DeniedMayHaveRun Denial = "unsafe"
	// DeniedPermanent: a retry would get the same answer, for ReasonInProgress as
	// long as the first request runs.
	DeniedPermanent Denial = "useless"
	// DeniedMaxAttempts: MaxAttempts attempts were made.
	DeniedMaxAttempts Denial = "attempts"
	// DeniedDeadline: the retry would probably not be answered before the deadline.
	DeniedDeadline Denial = "deadline"
	// DeniedBudget: no token of the budget is left for this purpose.
	DeniedBudget Denial = "budget"
	// DeniedDisabled: an operator turned retries off.
	DeniedDisabled Denial = "switched-off"
)

// cause groups the reasons of refusals by whether a retry can help and whether
// it adds load.
type cause uint8

const (
	// overload: a retry adds load at a target and needs budget. It is the cause of
	// all reasons that causeOf does not list.
	overload cause = iota
	// routing: the request reached no target or a process that may not serve it.
	// The retry is its first arrival at a target and adds no load there.
	routing
	// permanent: a retry would get the same answer, for ReasonInProgress as long
	// as the first request runs.
	permanent
)

// causeOf returns the cause for a reason; overload if the reason is not listed.
func causeOf(r outcome.Reason) cause {
	switch r {
	case outcome.ReasonNoOwner, outcome.ReasonNotOwner, outcome.ReasonLeaseExpired, outcome.ReasonNoControl,
		outcome.ReasonDraining, outcome.ReasonConnectionFailed, outcome.ReasonOwnerRecovering:
		return routing
	case outcome.ReasonBadRequest, outcome.ReasonNoService, outcome.ReasonNoRule, outcome.ReasonBodyMismatch,
		outcome.ReasonRecordExpired, outcome.ReasonRecordsLost, outcome.ReasonInProgress:
		return permanent
	default:
		return overload
	}
}
