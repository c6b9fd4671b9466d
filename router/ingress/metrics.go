package ingress

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/outcome"
)

// hedges counts second tries that were started because the first was late.
var hedges = metrics.NewCounter("bramleyquay_ingress_hedges_total")

// record counts a request by service and outcome. Unknown service names are
// not used as labels, so that callers cannot create series.
func record(service string, begin time.Time, refusal *outcome.Refusal) {
	result, reason := outcome.Done, outcome.Reason("")
	if refusal != nil {
		result, reason = refusal.Outcome, refusal.Reason
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("bramleyquay_ingress_requests_total{service=%q,outcome=%q,reason=%q}", service, result, reason)).Inc()
	if refusal == nil {
		metrics.GetOrCreateHistogram(fmt.Sprintf("bramleyquay_ingress_answer_seconds{service=%q}", service)).UpdateDuration(begin)
	}
}
