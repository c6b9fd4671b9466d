package relay

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/router/metriclabel"
)

// count increments bramleyquay_requests_total: for the role "gate" with the outcome
// of a request, for "ingress" with the HTTP status of the answer, and for "repeat"
// with whether the budget allowed a retry.
func count(role, outcome string) {
	metrics.GetOrCreateCounter(metriclabel.Name("bramleyquay_requests_total", "role", role, "outcome", outcome)).Inc()
}

// setTargetLimit sets bramleyquay_target_limit: the requests per second that the
// process's target names as its limit, zero without a limit.
func setTargetLimit(rate float64) {
	metrics.GetOrCreateGauge("bramleyquay_target_limit", nil).Set(rate)
}

// countQuality increments bramleyquay_target_quality_total: the requests that the
// process's target ended, good, rejected or failed by itself.
func countQuality(result string) {
	metrics.GetOrCreateCounter(metriclabel.Name("bramleyquay_target_quality_total", "result", result)).Inc()
}

// setTargetWeight sets bramleyquay_target_weight: the weight of the process's target,
// in eighths.
func setTargetWeight(weight int) {
	metrics.GetOrCreateGauge("bramleyquay_target_weight", nil).Set(float64(weight))
}

// setTargetBodyBytes sets bramleyquay_target_body_bytes: the bytes of the long bodies that
// are in progress at the process's target.
func setTargetBodyBytes(n int64) {
	metrics.GetOrCreateGauge("bramleyquay_target_body_bytes", nil).Set(float64(n))
}

// countSlotTry increments bramleyquay_slot_tries_total: a try without waiting, in the same
// data centre or another one, that started or was refused.
func countSlotTry(near, refused bool) {
	dataCentre, result := "other", "started"
	if near {
		dataCentre = "same"
	}
	if refused {
		result = "refused"
	}
	metrics.GetOrCreateCounter(metriclabel.Name("bramleyquay_slot_tries_total", "dataCentre", dataCentre, "result", result)).Inc()
}

// countSearchEnded increments bramleyquay_slot_searches_ended_total.
func countSearchEnded() {
	metrics.GetOrCreateCounter("bramleyquay_slot_searches_ended_total").Inc()
}

// observe records the latency of one answer to a caller by service and class of
// status.
func observe(service string, status int, took time.Duration) {
	metrics.GetOrCreateHistogram(metriclabel.Name("bramleyquay_request_seconds", "service", service, "class", strconv.Itoa(status/100)+"xx")).Update(took.Seconds())
}
