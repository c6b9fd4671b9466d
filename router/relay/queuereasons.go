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
	dispatch.ReasonCallsLackRoom, dispatch.ReasonGaveWay,
}

// countQueueRefusal increments bramleyquay_queue_refusals_total, by reason, for a result
// that is a refusal by the queue of the process's gate.
func countQueueRefusal(r *result) {
	if r.outcome == notRun && slices.Contains(queueReasons, r.reason) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bramleyquay_queue_refusals_total{reason=%q}`, r.reason)).Inc()
	}
}
