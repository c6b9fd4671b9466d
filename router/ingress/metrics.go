package ingress

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/timesource"
)

// hedges counts second tries that were started because the first was late.
var hedges = metrics.NewCounter("bramleyquay_ingress_hedges_total")

// result names the counter of one kind of answer.
type result struct {
	service string
	outcome outcome.Outcome
	reason  outcome.Reason
}

// counters and answers hold metrics by result and service, because a look-up
// by the full name costs more than the rest of the bookkeeping of a request.
// Unknown service names are not used, so that callers cannot create series.
var counters, answers sync.Map

// record counts a request by service and outcome.
func record(service string, begin time.Time, refusal *outcome.Refusal) {
	r := result{service: service, outcome: outcome.Done}
	if refusal != nil {
		r.outcome, r.reason = refusal.Outcome, refusal.Reason
	}
	counter(r).Inc()
	if refusal == nil {
		answerTimes(service).UpdateDuration(begin)
	}
}

func counter(r result) *metrics.Counter {
	if c, ok := counters.Load(r); ok {
		return c.(*metrics.Counter)
	}
	c := metrics.GetOrCreateCounter(fmt.Sprintf("bramleyquay_ingress_requests_total{service=%q,outcome=%q,reason=%q}", r.service, r.outcome, r.reason))
	counters.Store(r, c)
	return c
}

func answerTimes(service string) *metrics.Histogram {
	if h, ok := answers.Load(service); ok {
		return h.(*metrics.Histogram)
	}
	h := metrics.GetOrCreateHistogram(fmt.Sprintf("bramleyquay_ingress_answer_seconds{service=%q}", service))
	answers.Store(service, h)
	return h
}

// Status is the ingress's part of a state dump.
type Status struct {
	// Waiting is the number of calls that wait for an owner.
	Waiting  int                           `json:"held"`
	Suspects map[string][]balancer.Suspect `json:"suspects"`
}

// Status returns the ingress's state.
func (in *Ingress) Status() Status {
	in.mu.Lock()
	defer in.mu.Unlock()
	st := Status{Waiting: len(in.held), Suspects: map[string][]balancer.Suspect{}}
	for name, s := range in.services {
		s.mu.Lock()
		if list := s.balancer.Suspects(timesource.Now()); len(list) > 0 {
			st.Suspects[name] = list
		}
		s.mu.Unlock()
	}
	return st
}
