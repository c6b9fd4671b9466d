package relay

// Reasons of results that are not done.
const (
	reasonNoTarget = "no target"
	// Without the routing document the gate does not know the rate at which it
	// may start requests at a cold target.
	reasonUnknownService = "service not known yet"
	reasonDrained        = "drained"
	reasonNotOwner       = "not owner"
	reasonNotGranted     = "key not granted yet"
	reasonCallerLeft     = "caller left"
	reasonTargetRefused  = "target refused"
	reasonNoConnection   = "no connection"
	reasonAnswerBroken   = "answer broke off"
	reasonNoSignature    = "answer without signature"
	// reasonNoMemory says nothing about the target.
	reasonNoMemory = "not enough memory is free"
	// reasonInvalid requests cannot be written as HTTP.
	reasonInvalid = "request not sent"
	// reasonQuarantined requests have ended the targets that ran them.
	reasonQuarantined = "request has ended several targets"
	// reasonFirstRun requests wait for a copy that is the first at the target.
	reasonFirstRun = "another copy is running for the first time"
	// reasonUnreadable requests of another process cannot be read by the gate.
	reasonUnreadable = "the gate cannot read the request"
)
