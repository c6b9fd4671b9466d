package outcome

// Reason is a machine-readable cause of a refusal.
type Reason string

const (
	ReasonBadRequest       Reason = "bad-request"      // the request breaks a rule of the service
	ReasonNoService        Reason = "no-such-service"  // no service of that name is configured
	ReasonNoRule           Reason = "no-rule-for-key"  // no placement rule covers the key
	ReasonNoOwner          Reason = "no-owner"         // nobody serves the unit at present
	ReasonNotOwner         Reason = "not-owner"        // the gate does not own the unit
	ReasonLeaseExpired     Reason = "lease-expired"    // the gate holds no valid lease
	ReasonNoControl        Reason = "no-control"       // control was not heard from within the contact bound
	ReasonDraining         Reason = "draining"         // the instance takes no new work
	ReasonQueueFull        Reason = "queue-full"       // the gate's queue is full
	ReasonDeadline         Reason = "deadline"         // the deadline has passed or cannot be met
	ReasonShed             Reason = "shed"             // lower class given up under overload
	ReasonBodyMismatch     Reason = "body-mismatch"    // idempotency key was used with another body
	ReasonRecordExpired    Reason = "record-expired"   // the request is older than the record lifetime
	ReasonNoRecordCopies   Reason = "no-record-copies" // too few record copies are reachable
	ReasonRecordsLost      Reason = "records-lost"     // records of the unit were lost
	ReasonInProgress       Reason = "in-progress"      // the first try with this key still runs
	ReasonConnectionFailed Reason = "connection"       // the connection failed
	ReasonTargetRefused    Reason = "target-refused"   // the target refused the request before running it
	ReasonOwnerRecovering  Reason = "owner-recovering" // the new owner reads the unit's records
	ReasonOverloaded       Reason = "overloaded"       // an internal limit was reached
	ReasonUpstreamBroken   Reason = "upstream-broken"  // the answer broke off
)
