package relay

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/router/metriclabel"
)

// queueReasons are the refusals by the queue of a gate that owns the key.
var queueReasons = []string{
	dispatch.ReasonNoFreeSlot, dispatch.ReasonQueueFull, dispatch.ReasonWouldMissDeadline, dispatch.ReasonDeadlinePassed,
	dispatch.ReasonGaveWay, dispatch.ReasonAboveShare,
}

// countQueueRefusal counts the refusals by the queue of the process's gate, by reason.
func countQueueRefusal(r *result) {
	if r.outcome == notRun && slices.Contains(queueReasons, r.reason) {
		metrics.GetOrCreateCounter(metriclabel.Name("bramleyquay_queue_refusals_total", "reason", r.reason)).Inc()
	}
}

// mayHaveNewOwner reports whether another process may own the request's key after
// this refusal. The refusals of the owner itself are final.
func (r *result) mayHaveNewOwner() bool {
	return r.reason != reasonNotGranted && r.reason != reasonCallerLeft && !slices.Contains(queueReasons, r.reason)
}
