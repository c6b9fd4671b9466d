// Package outcome defines what is known about the execution of a request,
// whether it is safe to retry, and the reasons of refusals. A refusal is an
// error answer with an outcome. It is part of the mode with hashed shards.
package outcome

// Outcome states what is known about the execution of one request.
type Outcome string

const (
	// Done means that the target ran the request and the answer is complete.
	Done Outcome = "done"
	// NotRun means that the target did not run the request; a retry is safe.
	NotRun Outcome = "not-run"
	// Unknown means that the target may have run the request. A retry is safe
	// only for idempotent requests.
	Unknown Outcome = "unknown"
)

// RetrySafe reports whether a request with this outcome may be retried.
// Idempotent states whether the request may run more than once.
func (o Outcome) RetrySafe(idempotent bool) bool {
	return o == NotRun || (o == Unknown && idempotent)
}
