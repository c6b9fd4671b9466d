package ingress

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/choice"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/timesource"
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

// Status is the ingress's part of a state dump.
type Status struct {
	// Held is the number of calls that wait for an owner.
	Held     int                         `json:"held"`
	Suspects map[string][]choice.Suspect `json:"suspects"`
}

// Status returns the ingress's state.
func (in *Ingress) Status() Status {
	in.mu.Lock()
	defer in.mu.Unlock()
	st := Status{Held: len(in.held), Suspects: map[string][]choice.Suspect{}}
	for name, s := range in.services {
		s.mu.Lock()
		if list := s.chooser.Suspects(timesource.Now()); len(list) > 0 {
			st.Suspects[name] = list
		}
		s.mu.Unlock()
	}
	return st
}
