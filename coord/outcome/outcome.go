// Package outcome defines what is known about the execution of a request and
// whether repeating it is safe.
package outcome

// Outcome states what is known about the execution of one request.
type Outcome string

const (
	// Done means that the target ran the request and the answer is complete.
	Done Outcome = "done"
	// NotRun means that the target did not see the request; a repeat is safe.
	NotRun Outcome = "not-run"
	// Unknown means that the target may have run the request. A repeat is safe
	// only for idempotent requests.
	Unknown Outcome = "unknown"
)

// RetrySafe reports whether the request may be repeated.
func (o Outcome) RetrySafe(idempotent bool) bool {
	return o == NotRun || (o == Unknown && idempotent)
}
