package relay

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/logging"
)

const (
	// defaultTimeout is the timeout of routes that have none. A caller's deadline
	// can only shorten it.
	defaultTimeout = 30 * time.Second
	// defaultRetryAfter is the advised time until a retry if the refusal gives
	// none, for instance while the process has no routing document or a key has no
	// owner: an election or a move takes about as long.
	defaultRetryAfter = 300 * time.Millisecond
	// maxOwnerWait bounds the time after the receipt of a request in which the
	// ingress waits for the request's key to get another holder.
	maxOwnerWait = 250 * time.Millisecond
	// maxPicks bounds the tries of a request whose last try reached no target:
	// maxNoWaitTargets without waiting, and two more that may wait in a queue. It
	// may be higher than a route's attempts, because a refusal by a gate costs a
	// round trip and no work at a target.
	maxPicks = maxNoWaitTargets + 2
)

// Ingress accepts callers' requests, finds the owner or a target and retries.
type Ingress struct {
	agent   *fleetagent.Agent
	gate    *Gate
	names   HeaderNames
	peers   *peers
	budgets *retryBudgets
	// quota has the limits of accounts, accounts their counters.
	quota    quota
	accounts accountCounters
	log      logging.Logger

	mu        sync.Mutex
	balancers map[string]*serviceBalancer
}

// IngressConfig is the configuration of an Ingress.
type IngressConfig struct {
	Names HeaderNames
	// GateAddress returns the address at which a process's gate accepts requests
	// of other processes.
	GateAddress func(process string) string
	Budget      RetryBudgetConfig
}

// NewIngress returns the ingress of a process. gate is the gate of the same
// process.
func NewIngress(cfg IngressConfig, agent *fleetagent.Agent, gate *Gate, log logging.Logger) *Ingress {
	return &Ingress{
		agent: agent, quota: agent, gate: gate, names: cfg.Names, log: log,
		peers: newPeers(cfg.Names, cfg.GateAddress), budgets: newRetryBudgets(cfg.Budget), balancers: map[string]*serviceBalancer{},
	}
}

// requestState is the state of one request over all of its tries.
type requestState struct {
	request *routedRequest
	route   *routes.Route
	view    *fleetagent.View
	// account is nil for requests of public routes without a key and if the document
	// has no accounts.
	account *routes.Account
	// reached counts the tries in which the request may have arrived at a target,
	// picks all tries.
	reached int
	picks   int
	// mayHaveRun is set by a try whose outcome is not notRun.
	mayHaveRun bool
	// lastServerError is the last answer with a status of 500 or higher. The caller
	// gets it if later tries give no answer.
	lastServerError *result
	// last and process are the result and the process of the last try.
	last    result
	process string
	// exclude lists the targets of a service without keys that were tried, or
	// skipped because their process is avoided.
	exclude []table.MemberID
	// busyTargets are those of them that had no free slot and were not tried again
	// since.
	busyTargets []busyTarget
}

// Serve implements httpserver.Handler.
func (in *Ingress) Serve(ctx context.Context, r *httpserver.Request) *httpserver.Response {
	st, resp := in.prepare(r)
	if resp == nil {
		resp = in.execute(ctx, st)
	}
	in.finish(r, st, resp)
	return resp
}

// execute takes a prepared request from the limit of its account, runs it, and returns
// the answer for the caller.
func (in *Ingress) execute(ctx context.Context, st *requestState) *httpserver.Response {
	runCtx, cancel := context.WithDeadline(ctx, st.request.deadline)
	defer cancel()
	if resp := in.takeQuota(runCtx, st); resp != nil {
		return resp
	}
	in.budgets.countRequest(st.request.service, len(st.view.Members))
	in.run(runCtx, st)
	in.settleQuota(st)
	return in.answer(st, ctx.Err() != nil && !httpserver.IsStopping(ctx))
}

// prepare finds the route, account, service and key of a request and sets its deadlines.
// If the request cannot be routed or is unauthorized, it returns the answer for the caller.
func (in *Ingress) prepare(r *httpserver.Request) (*requestState, *httpserver.Response) {
	view := in.agent.View()
	st := &requestState{view: view, request: &routedRequest{request: r, id: r.Header.Get(in.names.RequestID), caller: in.agent.Service(), version: view.Version()}}
	if view.Routes == nil {
		st.last = refused("no document is known yet", defaultRetryAfter)
		return st, in.refusal(st)
	}
	in.accounts.setTable(view.Routes)
	st.route = view.Routes.Match(r.Host, r.Path)
	if st.route == nil {
		st.last.reason = "no route"
		return st, httpserver.TextResponse(http.StatusNotFound, "no route")
	}
	req := st.request
	req.route = st.route.Name
	if resp := in.authenticate(st); resp != nil {
		return st, resp
	}
	in.mu.Lock() // PickService is not safe for concurrent use
	req.service = view.Routes.PickService(st.route)
	in.mu.Unlock()
	req.header = forwarded(r.Header)
	req.removeInternalHeaders()
	in.setAccount(st)
	req.setFingerprint()
	if s := view.Routes.Service(req.service); s != nil && s.Sharded {
		key, ok := parseKey(r.Header.Get(in.names.Key))
		if !ok {
			st.last.reason = "no valid key"
			return st, httpserver.TextResponse(http.StatusBadRequest, "the service is divided by key and the request has no valid key")
		}
		req.sharded, req.key = true, key
	}
	req.deadline = in.deadline(r, st.route)
	req.objective = req.deadline
	if o := r.Received.Add(st.route.LatencyObjective); st.route.LatencyObjective > 0 && o.Before(req.deadline) {
		req.objective = o
	}
	return st, nil
}

// deadline returns the earlier of the caller's deadline and the end of the route's
// timeout, or of defaultTimeout if the route has none. It ignores a malformed or
// negative deadline of the caller.
func (in *Ingress) deadline(r *httpserver.Request, route *routes.Route) time.Time {
	wait := defaultTimeout
	if route.Timeout > 0 {
		wait = route.Timeout
	}
	if ms, err := strconv.ParseFloat(r.Header.Get(in.names.DeadlineMs), 64); err == nil && ms >= 0 {
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	}
	return r.Received.Add(wait)
}

// run tries targets until shouldRetry allows no further try, no target is left, or
// ctx ends. st.last is then the result of the last try, or the refusal if no target
// was found for the first one, or if ctx has ended before.
func (in *Ingress) run(ctx context.Context, st *requestState) {
	var pick func(context.Context, *requestState) (string, bool)
	if st.request.sharded {
		pick = in.pickOwner
	} else {
		pick = in.pickTarget
	}
	for ctx.Err() == nil {
		if after := in.agent.View().RefusedFor(st.request.fingerprint); after > 0 {
			st.refuseQuarantined(after)
			return
		}
		process, ok := pick(ctx, st)
		if !ok {
			return
		}
		st.process = process
		start := time.Now()
		st.last = in.send(ctx, process, st.request)
		if !st.request.sharded {
			in.reportResult(ctx, st, time.Since(start))
		}
		st.picks++
		if st.last.reached {
			st.reached++
		}
		st.mayHaveRun = st.mayHaveRun || st.last.outcome != notRun
		if !in.shouldRetry(st) {
			return
		}
	}
	if st.picks == 0 {
		st.last = refused(endReason(ctx), 0)
	}
}

// refuseQuarantined ends a request that has ended targets. After an earlier try its
// result stays.
func (st *requestState) refuseQuarantined(after time.Duration) {
	if st.picks == 0 {
		st.last = refused(reasonQuarantined, after)
	}
}

// send runs a request at the gate of a process, which may be this one.
func (in *Ingress) send(ctx context.Context, process string, req *routedRequest) result {
	if process == in.agent.Process() {
		return in.gate.do(ctx, req)
	}
	return in.peers.do(ctx, process, req)
}

// shouldRetry reports whether another try is allowed and useful. A retry counts
// against the service's budget, unless the last try reached no target.
func (in *Ingress) shouldRetry(st *requestState) bool {
	r := &st.last
	if st.request.isConsumed() {
		return false
	}
	if r.reason == reasonQuarantined {
		return false
	}
	if r.outcome == notRun && !r.reached {
		return st.picks < maxPicks && (!st.request.sharded || r.mayHaveNewOwner())
	}
	failed := r.outcome == done && r.response.Status >= http.StatusInternalServerError
	switch {
	case r.outcome == done && !failed:
		return false
	case failed:
		answer := *r
		st.lastServerError = &answer
	}
	retryable := r.outcome == notRun || st.route.Kind.IsIdempotent()
	// A retry of a sharded request goes to the same target. It can help if the
	// answer was lost, but not if the target has answered with an error status.
	if st.request.sharded && failed {
		return false
	}
	if !retryable || st.reached >= max(st.route.Attempts, 1) || time.Until(st.request.deadline) < minRetryLeft {
		return false
	}
	allowed := in.budgets.take(st.request.service)
	in.log.Info().Str("request", st.request.id).Str("service", st.request.service).Str("at", st.process).Str("outcome", string(r.outcome)).
		Str("reason", r.reason).Int("reached", st.reached).Bool("allowed", allowed).Msg("retry budget checked")
	count("repeat", strconv.FormatBool(allowed))
	return allowed
}

// minRetryLeft is the remaining time below which a try that may have reached a
// target is not retried: the service times of targets are longer.
const minRetryLeft = 50 * time.Millisecond
