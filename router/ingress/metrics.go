package ingress

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/metriclabel"
	"bramleyquay.example/router/timesource"
)

// hedges counts hedges: second tries that were started because the first was late.
var hedges = metrics.NewCounter("bramleyquay_ingress_hedges_total")

// counterKey identifies a counter of requests by its labels.
type counterKey struct {
	service string
	outcome outcome.Outcome
	reason  outcome.Reason
}

// requestCounters caches counters by counterKey, and answerHistograms histograms by
// service, because a look-up by the full name costs more than the rest of a
// request's bookkeeping. Unknown service names are not used, so that callers cannot
// create series.
var requestCounters, answerHistograms sync.Map

// recordRequest counts a request by service, outcome and reason, and records the
// latency of an answered one.
func recordRequest(service string, begin time.Time, refusal *outcome.Refusal) {
	r := counterKey{service: service, outcome: outcome.Done}
	if refusal != nil {
		r.outcome, r.reason = refusal.Outcome, refusal.Reason
	}
	requestCounter(r).Inc()
	if refusal == nil {
		answerHistogram(service).UpdateDuration(begin)
	}
}

func requestCounter(r counterKey) *metrics.Counter {
	if c, ok := requestCounters.Load(r); ok {
		return c.(*metrics.Counter)
	}
	c := metrics.GetOrCreateCounter(metriclabel.Name("bramleyquay_ingress_requests_total", "service", r.service, "outcome", string(r.outcome), "reason", string(r.reason)))
	requestCounters.Store(r, c)
	return c
}

func answerHistogram(service string) *metrics.Histogram {
	if h, ok := answerHistograms.Load(service); ok {
		return h.(*metrics.Histogram)
	}
	h := metrics.GetOrCreateHistogram(metriclabel.Name("bramleyquay_ingress_answer_seconds", "service", service))
	answerHistograms.Store(service, h)
	return h
}

// Status is the ingress's part of a state dump.
type Status struct {
	// Waiting is the number of calls that wait for an owner or a target.
	Waiting  int                           `json:"held"`
	Suspects map[string][]balancer.Suspect `json:"suspects"`
}

// Status returns the ingress's state.
func (in *Ingress) Status() Status {
	in.mu.Lock()
	defer in.mu.Unlock()
	st := Status{Waiting: len(in.waiting), Suspects: map[string][]balancer.Suspect{}}
	for name, s := range in.services {
		s.mu.Lock()
		if list := s.balancer.Suspects(timesource.Now()); len(list) > 0 {
			st.Suspects[name] = list
		}
		s.mu.Unlock()
	}
	return st
}
