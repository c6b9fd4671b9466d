package relay

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bramleyquay.example/coord/backpressure"
	"bramleyquay.example/router/timesource"
)

// callObserver learns from the runs at the process's target and the requests at its
// ingress, among which are the target's calls. Its methods may be called concurrently.
type callObserver struct {
	mu      sync.Mutex
	limiter *backpressure.Limiter
	// bounded are the routes whose runs are bounded.
	bounded map[string]bool
}

func newCallObserver() *callObserver {
	return &callObserver{limiter: backpressure.New(backpressure.DefaultConfig()), bounded: map[string]bool{}}
}

func (o *callObserver) runStarted(number uint64, req *routedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limiter.RunStarted(timesource.Now().Mono, number, req.id, req.route)
}

// runEnded records the result of a run. It returns the bound on the runs of its route at
// the same time, zero without one, and whether the run failed because its calls lacked
// room.
func (o *callObserver) runEnded(number uint64, req *routedRequest, r *result) (limit int, wasted bool) {
	failed := r.outcome == unknown || r.outcome == done && r.response.Status >= http.StatusInternalServerError ||
		r.outcome == done && time.Now().After(req.deadline)
	o.mu.Lock()
	defer o.mu.Unlock()
	wasted = o.limiter.RunEnded(timesource.Now().Mono, number, failed)
	limit = o.limiter.Limit(req.route)
	if wasted {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bramleyquay_wasted_runs_total{route=%q}`, req.route)).Inc()
	}
	if limit > 0 || o.bounded[req.route] {
		o.bounded[req.route] = limit > 0
		metrics.GetOrCreateGauge(fmt.Sprintf(`bramleyquay_run_limit{route=%q}`, req.route), nil).Set(float64(limit))
	}
	return limit, wasted
}

// callStarted records a request at the ingress.
func (o *callObserver) callStarted(req *routedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limiter.CallStarted(timesource.Now().Mono, call(req))
}

// callEnded records the result of a request at the ingress.
func (o *callObserver) callEnded(st *requestState) {
	if !st.lackedRoom() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limiter.CallLackedRoom(call(st.request))
}

func call(req *routedRequest) backpressure.Call {
	return backpressure.Call{ID: req.id, Route: req.route, NoCall: req.account != "" || req.service == req.caller}
}

// lackedRoom reports whether the request was refused by the queues of targets. A
// refusal by a target itself says nothing about room.
func (st *requestState) lackedRoom() bool {
	return !st.mayHaveRun && st.last.outcome == notRun && !st.last.reached && slices.Contains(queueReasons, st.last.reason)
}

// setRunLimit bounds the running requests of a route, zero removes the bound.
func (w *blockingQueue) setRunLimit(route string, limit int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue.SetGroupLimit(route, limit)
}
