package relay

import (
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/dispatch"
)

// queueReasons are the refusals by the queue of a gate that owns the key.
var queueReasons = []string{
	dispatch.ReasonNoFreeSlot, dispatch.ReasonQueueFull, dispatch.ReasonWouldMissDeadline, dispatch.ReasonDeadlinePassed,
	dispatch.ReasonGaveWay, dispatch.ReasonAboveShare,
}

// countQueueDecision counts the result of a request at the process's gate: refusals by
// the queue by reason, and callers that returned as agreed by whether they were refused
// again.
func countQueueDecision(r *result) {
	byQueue := r.outcome == notRun && slices.Contains(queueReasons, r.reason)
	if byQueue {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bramleyquay_queue_refusals_total{reason=%q}`, r.reason)).Inc()
	}
	if r.returning {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bramleyquay_queue_returns_total{refused="%t"}`, byQueue)).Inc()
	}
}

// mayHaveNewOwner reports whether another process may own the request's key after
// this refusal. The refusals of the owner itself are final.
func (r *result) mayHaveNewOwner() bool {
	return r.reason != reasonNotGranted && r.reason != reasonCallerLeft && !slices.Contains(queueReasons, r.reason)
}
