package relay

import (
	"context"
	"errors"
	"time"
)

// maxTimeBack is the longest time that is kept for the way of a refusal back to the
// caller: a tick of the queue, two hops, and the time for which busy processes and
// links delay it. The request would hardly end in that time if it started.
const maxTimeBack = 100 * time.Millisecond

// timeBackFraction is the fraction of the time until the deadline that is kept for the
// way back if that is shorter.
const timeBackFraction = 0.1

// timeBack returns the time that is kept for the way of a refusal back to the caller.
func (r *routedRequest) timeBack() time.Duration {
	return min(maxTimeBack, time.Duration(timeBackFraction*float64(r.deadline.Sub(r.request.Received))))
}

// errMustAnswer ends the wait of a request at the gate before its deadline.
var errMustAnswer = errors.New("no time is left but for the answer")

// waitContext returns a context for all waits before the request is sent to the target.
// It ends early enough for a refusal to reach the caller before the deadline.
func waitContext(ctx context.Context, req *routedRequest) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, req.deadline.Add(-req.timeBack()), errMustAnswer)
}
