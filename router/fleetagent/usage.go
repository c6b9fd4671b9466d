package fleetagent

import (
	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/ranges"
)

// Usage is the load of the process's target.
type Usage struct {
	// Utilization is the share of its capacity in use, Capacity the number of requests
	// per second that it could serve, or zero if it was not measured.
	Utilization, Capacity float64
	// Limit is the limit that Target, an incarnation of the target, names.
	Limit  dispatch.Limit
	Target ranges.Holder
	// Weight is the weight of that incarnation's quality, in eighths.
	Weight int
}

// SetUsage sets the function that returns the target's load for renewals. f is
// called with the agent's lock held, so of the agent's methods it may call only
// View, RenewNow and CountRequest. SetUsage must be called before Run.
func (a *Agent) SetUsage(f func() Usage) { a.usage = f }
