package outcome

// Reason is a machine-readable cause of a refusal.
type Reason string

const (
	ReasonBadRequest       Reason = "bad-request"      // the request is invalid, or breaks a rule of the service
	ReasonNoService        Reason = "no-such-service"  // no service with this name is configured
	ReasonNoRule           Reason = "no-rule-for-key"  // no key rule matches the key
	ReasonNoOwner          Reason = "no-owner"         // no member serves the unit or the service at present
	ReasonNotOwner         Reason = "not-owner"        // the gate's member does not serve the unit or the service, or no longer does
	ReasonLeaseExpired     Reason = "lease-expired"    // the gate's member has no valid lease for the unit, or its target no valid grant
	ReasonNoControl        Reason = "no-control"       // no configuration yet, or no lease renewal granted within the contact timeout
	ReasonDraining         Reason = "draining"         // the instance accepts no new requests
	ReasonQueueFull        Reason = "queue-full"       // the gate's queue is full
	ReasonDeadline         Reason = "deadline"         // the deadline has passed or cannot be met
	ReasonShed             Reason = "shed"             // refused under overload in favour of a request of a higher priority class
	ReasonBodyMismatch     Reason = "body-mismatch"    // the idempotency key was used with another body
	ReasonRecordExpired    Reason = "record-expired"   // the request is older than the lifetime of idempotency records
	ReasonNoRecordCopies   Reason = "no-record-copies" // the idempotency record was not copied: no copy in another data centre, or one did not acknowledge in time
	ReasonRecordsLost      Reason = "records-lost"     // idempotency records of the unit were lost
	ReasonInProgress       Reason = "in-progress"      // the first request with this idempotency key still runs, or its answer is not recorded yet
	ReasonConnectionFailed Reason = "connection"       // no connection to the target or the owner (not-run), or no valid answer on it (unknown)
	ReasonTargetRefused    Reason = "target-refused"   // the target refused the request before running it
	ReasonOwnerRecovering  Reason = "owner-recovering" // the new owner is still reading the unit's idempotency records
	ReasonOverloaded       Reason = "overloaded"       // a limit of the router on waiting calls, payments in progress or idempotency records was reached
	ReasonUpstreamBroken   Reason = "upstream-broken"  // the target's answer broke off, is not a final one, or was lost
)
