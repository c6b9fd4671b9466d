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
	// defaultTimeout is the wait of a caller that names no deadline on a route
	// without a timeout.
	defaultTimeout = 30 * time.Second
	// firstRetryAfter is the advice while the process knows no document or a
	// key has no owner: an election or a move takes about as long.
	firstRetryAfter = 300 * time.Millisecond
	// maxOwnerWait bounds the wait for a key that is changing hands.
	maxOwnerWait = 250 * time.Millisecond
	// maxPicks bounds the gates that are asked for one request; a refusal by
	// a gate costs a round trip and no work at a target.
	maxPicks = maxEager + 2
)

// Ingress takes requests of callers.
type Ingress struct {
	agent   *fleetagent.Agent
	gate    *Gate
	names   HeaderNames
	peers   *peers
	budgets *budgets
	log     logging.Logger

	mu       sync.Mutex
	choosers map[string]*chooser
}

// IngressConfig describes an ingress.
type IngressConfig struct {
	Names HeaderNames
	// GateAddress gives the address at which a process's gate takes requests
	// of peers.
	GateAddress func(process string) string
	Budget      RetryBudgetConfig
}

// NewIngress returns the ingress of a process. gate serves the target beside it.
func NewIngress(cfg IngressConfig, agent *fleetagent.Agent, gate *Gate, log logging.Logger) *Ingress {
	return &Ingress{
		agent: agent, gate: gate, names: cfg.Names, log: log,
		peers: newPeers(cfg.Names, cfg.GateAddress), budgets: newBudgets(cfg.Budget), choosers: map[string]*chooser{},
	}
}

// try is the state of one request over its tries.
type try struct {
	job     *job
	route   *routes.Route
	view    *fleetagent.View
	reached int
	picks   int
	// mayHaveRun is set once a try has not shown that nothing ran.
	mayHaveRun bool
	// failed is the last answer of a target that reported a failure.
	failed  *result
	last    result
	process string
	// exclude lists the targets that were tried already.
	exclude []table.MemberID
	// busy are those that had no free slot.
	busy []busyTarget
}

// Serve implements httpserver.Handler.
func (in *Ingress) Serve(ctx context.Context, r *httpserver.Request) *httpserver.Response {
	t, resp := in.prepare(r)
	if resp == nil {
		deadline, cancel := context.WithDeadline(ctx, t.job.deadline)
		in.budgets.request(t.job.service, len(t.view.Members))
		in.run(deadline, t)
		cancel()
		resp = in.answer(t, ctx.Err() != nil)
	}
	in.finish(r, t, resp)
	return resp
}

// prepare routes a request. A response that is not nil is its answer.
func (in *Ingress) prepare(r *httpserver.Request) (*try, *httpserver.Response) {
	view := in.agent.View()
	t := &try{view: view, job: &job{request: r, id: r.Header.Get(in.names.RequestID), caller: in.agent.Service(), version: view.Version()}}
	if view.Routes == nil {
		t.last = refused("no document is known yet", firstRetryAfter)
		return t, in.refusal(t)
	}
	t.route = view.Routes.Match(r.Host, r.Path)
	if t.route == nil {
		t.last.reason = "no route"
		return t, httpserver.TextResponse(http.StatusNotFound, "no route")
	}
	j := t.job
	in.mu.Lock()
	j.service = view.Routes.PickService(t.route)
	in.mu.Unlock()
	j.route, j.rank = t.route.Name, t.route.Priority
	j.header = forwarded(r.Header)
	delete(j.header, headerHop)
	if s := view.Routes.Service(j.service); s != nil && s.Sharded {
		key, ok := parseKey(r.Header.Get(in.names.Key))
		if !ok {
			t.last.reason = "no valid key"
			return t, httpserver.TextResponse(http.StatusBadRequest, "the service is divided by key and the request has no valid key")
		}
		j.sharded, j.key = true, key
	}
	j.deadline = in.deadline(r, t.route)
	j.objective = j.deadline
	if o := r.Received.Add(t.route.LatencyObjective); t.route.LatencyObjective > 0 && o.Before(j.deadline) {
		j.objective = o
	}
	return t, nil
}

// deadline is the earlier end of the caller's wait and the route's timeout.
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

// run tries targets until one has answered, nothing more may be tried, or the
// time is over.
func (in *Ingress) run(ctx context.Context, t *try) {
	var pick func(context.Context, *try) (string, bool)
	if t.job.sharded {
		pick = in.owner
	} else {
		pick = in.choose
	}
	for ctx.Err() == nil {
		process, ok := pick(ctx, t)
		if !ok {
			return
		}
		t.process = process
		start := time.Now()
		t.last = in.send(ctx, process, t.job)
		if !t.job.sharded {
			in.ended(t, time.Since(start))
		}
		t.picks++
		if t.last.reached {
			t.reached++
		}
		t.mayHaveRun = t.mayHaveRun || t.last.kind != notRun
		if !in.again(t) {
			return
		}
	}
}

func (in *Ingress) send(ctx context.Context, process string, j *job) result {
	if process == in.agent.Process() {
		return in.gate.do(ctx, j)
	}
	return in.peers.do(ctx, process, j)
}

// again decides whether another try is allowed and useful.
func (in *Ingress) again(t *try) bool {
	r := &t.last
	if r.kind == notRun && !r.reached {
		return t.picks < maxPicks && (!t.job.sharded || r.moved())
	}
	failed := r.kind == done && r.response.Status >= http.StatusInternalServerError
	switch {
	case r.kind == done && !failed:
		return false
	case failed:
		kept := *r
		t.failed = &kept
	}
	repeatable := r.kind == notRun || t.route.Kind == routes.Idempotent
	// A sharded request would go to the same target again, which has just
	// failed; that helps only if the answer was lost.
	if t.job.sharded && failed {
		return false
	}
	if !repeatable || t.reached >= max(t.route.Attempts, 1) || time.Until(t.job.deadline) < minRetryLeft {
		return false
	}
	allowed := in.budgets.take(t.job.service)
	in.log.Info().Str("request", t.job.id).Str("service", t.job.service).Str("at", t.process).Str("outcome", string(r.kind)).
		Str("reason", r.reason).Int("reached", t.reached).Bool("allowed", allowed).Msg("repeat decided by the budget")
	count("repeat", strconv.FormatBool(allowed))
	return allowed
}

// minRetryLeft is the time below which no further target is tried: it is less
// than any service time that matters.
const minRetryLeft = 50 * time.Millisecond

// deadlineSlack covers the rounding of the time that is left on its way to the
// gate: an end that comes so shortly before the deadline is the deadline's.
const deadlineSlack = 5 * time.Millisecond

// answer turns the last outcome into the answer to the caller.
func (in *Ingress) answer(t *try, left bool) *httpserver.Response {
	r := &t.last
	if r.kind != done && t.failed != nil {
		r = t.failed
	}
	switch {
	case r.kind == done:
		h := forwarded(r.response.Header)
		h.Del(in.names.Load)
		return &httpserver.Response{Status: r.response.Status, Header: h, Body: r.response.Body}
	case left:
		return in.failure(t, http.StatusGatewayTimeout)
	case !t.mayHaveRun:
		return in.refusal(t)
	case time.Until(t.job.deadline) < deadlineSlack:
		return in.failure(t, http.StatusGatewayTimeout)
	}
	return in.failure(t, http.StatusBadGateway)
}

// refusal states that the request did not run, and when to come back.
func (in *Ingress) refusal(t *try) *httpserver.Response {
	resp := in.failure(t, http.StatusServiceUnavailable)
	after := t.last.retryAfter
	if after <= 0 {
		after = firstRetryAfter
	}
	resp.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return resp
}

func (in *Ingress) failure(t *try, status int) *httpserver.Response {
	resp := httpserver.TextResponse(status, t.last.reason)
	if t.job.id != "" {
		resp.Header.Set(in.names.RequestID, t.job.id)
	}
	return resp
}

func (in *Ingress) finish(r *httpserver.Request, t *try, resp *httpserver.Response) {
	took := time.Since(r.Received)
	j := t.job
	e := in.log.Info()
	if resp.Status >= http.StatusInternalServerError {
		e = in.log.Warn()
	}
	e.Str("request", j.id).Str("host", r.Host).Str("path", r.Path).Str("route", j.route).Str("service", j.service)
	if j.sharded {
		row, _ := t.view.Owner(j.service, j.key)
		e.Uint16("key", j.key).Str("owner", row.Holder.Target).Uint64("fence", row.Fence)
	}
	e.Int("status", resp.Status).Str("outcome", string(t.last.kind)).Str("reason", t.last.reason).Str("at", t.process).
		Int("picks", t.picks).Int("reached", t.reached).Dur("took", took).Uint64("version", t.view.Version()).
		Uint64("rows", t.view.Revisions.Ranges).Uint64("directory", t.view.Revisions.Directory).Msg("request answered")
	count("ingress", strconv.Itoa(resp.Status))
	observe(j.service, resp.Status, took)
}
