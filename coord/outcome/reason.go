package outcome

// Reason is a machine-readable cause of a refusal.
type Reason string

const (
	ReasonBadRequest       Reason = "bad-request"      // the request breaks a rule of the service
	ReasonNoService        Reason = "no-such-service"  // no service with this name is configured
	ReasonNoRule           Reason = "no-rule-for-key"  // no key rule matches the key
	ReasonNoOwner          Reason = "no-owner"         // no member serves the unit at present
	ReasonNotOwner         Reason = "not-owner"        // the gate's member does not own the unit
	ReasonLeaseExpired     Reason = "lease-expired"    // the gate's member has no valid lease
	ReasonNoControl        Reason = "no-control"       // no message from the control group within the time limit
	ReasonDraining         Reason = "draining"         // the instance accepts no new requests
	ReasonQueueFull        Reason = "queue-full"       // the gate's queue is full
	ReasonDeadline         Reason = "deadline"         // the deadline has passed or cannot be met
	ReasonShed             Reason = "shed"             // refused under overload in favour of a request of a higher priority class
	ReasonBodyMismatch     Reason = "body-mismatch"    // the idempotency key was used with another body
	ReasonRecordExpired    Reason = "record-expired"   // the request is older than the lifetime of idempotency records
	ReasonNoRecordCopies   Reason = "no-record-copies" // too few members for copies of the idempotency record are reachable
	ReasonRecordsLost      Reason = "records-lost"     // idempotency records of the unit were lost
	ReasonInProgress       Reason = "in-progress"      // the first request with this idempotency key still runs
	ReasonConnectionFailed Reason = "connection"       // the connection failed
	ReasonTargetRefused    Reason = "target-refused"   // the target refused the request before running it
	ReasonOwnerRecovering  Reason = "owner-recovering" // the new owner is still reading the unit's idempotency records
	ReasonOverloaded       Reason = "overloaded"       // an internal limit was reached
	ReasonUpstreamBroken   Reason = "upstream-broken"  // the connection failed before the answer was complete
)
