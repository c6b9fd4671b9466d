package grant

import (
	"time"

	"bramleyquay.example/coord/ranges"
)

// CallKind says what a call asks of the target.
type CallKind string

const (
	// GrantCall grants a range, or renews its grant.
	GrantCall CallKind = "grant"
	// ReleaseCall asks the target to start no more requests of a range. The target
	// answers once the requests that it runs have ended.
	ReleaseCall CallKind = "release"
)

// Call is a call that the sidecar process sends to its target.
type Call struct {
	ID   uint64
	Kind CallKind
	// Target is the name of the target that the call is meant for.
	Target string
	// Range has the keys, the fence and, in a grant, the handover token.
	Range ranges.Range
	// Duration is the duration of a grant. It counts from the arrival of the call.
	Duration time.Duration
	// Until is the latest end of a grant on the monotonic clock of the readings. A
	// target that was frozen may receive the call long after it was sent.
	Until time.Duration
	// Timeout bounds the time until the answer. When it ends, the call must be cut
	// off so that no part of it that has not arrived yet can arrive later.
	Timeout time.Duration
}

// CallOutcome states what is known about the effect of a call.
type CallOutcome string

const (
	// CallDone means that the target has answered that the call took effect.
	CallDone CallOutcome = "done"
	// CallFenced means that the target refused a grant because it has seen a higher
	// fence on one of its keys.
	CallFenced CallOutcome = "fenced"
	// CallRejected means that the target answered that the call has no effect.
	CallRejected CallOutcome = "rejected"
	// CallNotSent means that no byte of the call was sent.
	CallNotSent CallOutcome = "not-sent"
	// CallLost means that there is no answer. The call may take effect later.
	CallLost CallOutcome = "lost"
)

// CallResult is the end of a call.
type CallResult struct {
	Outcome CallOutcome
	// HandoverToken is the token in the answer to a release.
	HandoverToken string
	// ConnectionLost is set if the target has closed, reset or refused the connection.
	// It may have been restarted. Refused says that no process listens at its address.
	ConnectionLost, Refused bool
	// Cause is the reason if the outcome is CallRejected, CallNotSent or CallLost.
	Cause error
}
