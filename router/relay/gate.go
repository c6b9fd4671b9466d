package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/memory"
	"bramleyquay.example/router/timesource"
)

// maxGrantWait is the longest time until the target's next grant for which a
// request waits at the gate for a key that is assigned to the target and not
// granted to it yet. If the grant is expected later than that, or after the
// end of the latency objective, the request is refused with the time after which
// the caller should retry: a longer wait is left to the caller, which can use the
// time.
const maxGrantWait = 250 * time.Millisecond

// Gate checks ownership and limits right before the target whose sidecar this
// process is. All requests to the target pass through it.
type Gate struct {
	agent  *fleetagent.Agent
	names  HeaderNames
	client *httpclient.Client
	queue  *blockingQueue
	// transfers orders the bodies that peers wait to send.
	transfers *blockingQueue
	firstRuns *firstRuns
	quality   targetQuality
	probing   atomic.Bool
	log       logging.Logger
}

// NewGate returns the gate of the target that client connects to. It must be called
// before agent.Run, because it sets the function from which the agent reports the
// target's load.
func NewGate(agent *fleetagent.Agent, names HeaderNames, client *httpclient.Client, log logging.Logger) *Gate {
	g := &Gate{agent: agent, names: names, client: client, queue: newBlockingQueue(1), transfers: newBlockingQueue(maxTransfers), firstRuns: newFirstRuns(), log: log}
	agent.SetUsage(g.usage)
	return g
}

// do runs one request at the target and logs the result. It blocks while the
// request waits and runs. ctx ends when the caller disconnects or the deadline
// passes.
func (g *Gate) do(ctx context.Context, req *routedRequest) result {
	r := g.run(ctx, req)
	r.load = g.queue.load()
	if t, ok := g.agent.Target(); ok {
		r.load.Weight = g.quality.weight(t.Incarnation)
	}
	g.logTry(req, r)
	return r
}

// run waits until the key is granted and a slot is free, checks ownership and the
// target's state once more, and sends the request.
func (g *Gate) run(ctx context.Context, req *routedRequest) result {
	waitCtx, cancel := waitContext(ctx, req)
	defer cancel()
	if req.sharded {
		g.agent.CountRequest(req.key)
		if r, ok := g.awaitKey(waitCtx, req); !ok {
			return r
		}
	}
	t, r, ok := g.checkTarget(req)
	if !ok {
		return r
	}
	if r, ok := g.receiveBody(waitCtx, req); !ok {
		return r
	}
	release, r, ok := g.firstRuns.acquire(waitCtx, req)
	if !ok {
		return r
	}
	defer release()
	rate := 0.0
	if s := g.service(req.service); s != nil {
		rate = s.ColdRate
	}
	// The queue uses the monotonic clock, ColdUntil is on the boot clock.
	until := timesource.Now().Mono + t.ColdUntil - timesource.BootTime().Mono
	req.weight = weightOf(g.agent.View().Routes, req.account)
	entered := time.Now()
	id, a := g.queue.acquire(waitCtx, req, targetLimits{target: t.Incarnation, earlierLimit: t.EarlierLimit, slots: t.Slots, coldUntil: until, coldRate: rate})
	waited := time.Since(entered)
	if !a.Start {
		r := refused(a.Reason, a.RetryAfter)
		r.waited = waited
		return r
	}
	// The target's state and the ownership of the key may have changed while the
	// request waited.
	t, r, ok = g.checkTarget(req)
	if ok && req.sharded {
		if holds, _ := g.agent.Holds(req.key); !holds {
			r, ok = refused(reasonNotOwner, 0), false
		}
	}
	if ok && ctx.Err() != nil {
		r, ok = refused(endReason(ctx), 0), false
	}
	if !ok {
		g.queue.release(id, false, dispatch.Limit{})
		return r
	}
	begun := time.Now()
	r = g.send(ctx, req, t)
	r.waited, r.ran, r.ended = waited, time.Since(begun), ctx.Err() != nil
	g.recordQuality(t, &r)
	g.queue.release(id, r.outcome == done, r.notice.limit)
	return r
}

// checkTarget returns the target if it may get the request, or else false and the
// refusal.
func (g *Gate) checkTarget(req *routedRequest) (fleetagent.Target, result, bool) {
	t, ok := g.agent.Target()
	switch {
	case !ok || !t.Accepts || req.service != g.agent.Service():
		return t, refused(reasonNoTarget, 0), false
	case g.service(req.service) == nil:
		return t, refused(reasonUnknownService, 0), false
	case !req.sharded && g.agent.View().IsDrained(g.agent.DataCentre()):
		// In a drained data centre sharded requests still run, until the release
		// of the target's keys is requested.
		return t, refused(reasonDrained, 0), false
	}
	if after := g.agent.View().RefusedFor(req.fingerprint); after > 0 {
		return t, refused(reasonQuarantined, after), false
	}
	return t, result{}, true
}

// awaitKey waits until the request's key is granted to the target. It returns false
// and the refusal if the key is not assigned to the target, if the grant is not
// expected or does not come in time, or if ctx ends.
func (g *Gate) awaitKey(ctx context.Context, req *routedRequest) (result, bool) {
	for {
		changed := g.agent.Changed()
		holds, owns := g.agent.Holds(req.key)
		t, known := g.agent.Target()
		switch {
		case holds:
			return result{}, true
		case !owns || !known:
			return refused(reasonNotOwner, 0), false
		}
		wait := t.NextGrant - timesource.BootTime().Mono
		if wait > maxGrantWait || time.Until(req.objective) < wait {
			return refused(reasonNotGranted, max(wait, minRetryAfter)), false
		}
		select {
		case <-changed:
		case <-time.After(max(wait, 0) + grantSlack):
			return refused(reasonNotGranted, minRetryAfter), false
		case <-ctx.Done():
			return refused(endReason(ctx), 0), false
		}
	}
}

const (
	// grantSlack is how much later than expected the grant may come.
	grantSlack = 50 * time.Millisecond
	// minRetryAfter is the lower bound of the advised time until a retry. Before
	// that, nothing is likely to have changed.
	minRetryAfter = 50 * time.Millisecond
)

// send sends the request to the target and reports to the agent whether the target
// answered. The outcome is not-run if nothing was sent, or if the target says so or
// answers with status 421; unknown if there is no complete answer, or if an answer
// with a status of 200 to 299 has no signature; and done otherwise.
func (g *Gate) send(ctx context.Context, req *routedRequest, t fleetagent.Target) result {
	h := req.header.Clone()
	g.names.setAccount(h, g.agent.View().Routes, req.account)
	h.Set(g.names.CallerService, req.caller)
	h.Set(g.names.Target, t.ID)
	h.Set(g.names.DeadlineMs, strconv.FormatInt(max(time.Until(req.deadline).Milliseconds(), 1), 10))
	source, err := openSource(req.request.Upload)
	if err != nil {
		return refused(withCause(reasonBodyBroken, err), 0)
	}
	sent := time.Now()
	resp, err := g.client.Do(ctx, &httpclient.Request{
		Method: req.request.Method, URI: req.request.URI, Host: req.request.Host, Header: h, Body: req.request.Body, Source: source, ID: req.id,
		Memory: req.request.Memory,
	})
	var unsent *httpclient.NotSentError
	var broken *httpclient.SourceError
	var invalid *httpclient.InvalidRequestError
	_ = errors.As(err, &unsent) // it stays nil if the error is another one
	switch {
	case errors.As(err, &broken):
		return result{outcome: unknown, reason: withCause(reasonBodyBroken, broken.Cause), reached: true}
	case errors.Is(err, memory.ErrExhausted) && unsent != nil:
		return refused(reasonNoMemory, defaultRetryAfter)
	case errors.Is(err, memory.ErrExhausted):
		return result{outcome: unknown, reason: reasonNoMemory, reached: true}
	case errors.As(err, &invalid):
		return refused(withCause(reasonInvalid, invalid), 0) // it says nothing about the target
	case unsent != nil:
		if ctx.Err() == nil {
			g.agent.RecordUnreachable(unsent.Refused)
		}
		return refused(withCause(reasonNoConnection, unsent.Cause), 0)
	case err != nil:
		// A caller that disconnects says nothing about the target; a passed deadline
		// counts as a failure.
		if !errors.Is(err, context.Canceled) {
			g.agent.RecordFailure()
		}
		if ctx.Err() == nil && req.fingerprint != 0 {
			g.agent.RecordBroken(req.fingerprint, t.Incarnation, sent, g.firstRuns.recordBroken(req.fingerprint))
			go g.probe()
		}
		return result{outcome: unknown, reason: withCause(reasonAnswerBroken, err), reached: true}
	}
	g.agent.RecordSuccess()
	n := g.notice(resp.Status, resp.Header)
	if n.leaving {
		g.agent.RecordLeaving(t.Incarnation)
	}
	switch {
	case resp.Header.Get(g.names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest:
		return result{outcome: notRun, reason: reasonTargetRefused + " with " + strconv.Itoa(resp.Status), reached: true, notice: n}
	case resp.Status >= 200 && resp.Status < 300 && resp.Header.Get(g.names.Signature) == "":
		return result{outcome: unknown, reason: reasonNoSignature, reached: true}
	}
	g.firstRuns.recordAnswer(req.fingerprint)
	if resp.Status < http.StatusInternalServerError {
		g.agent.RecordCompleted(req.fingerprint)
	}
	return result{outcome: done, response: resp, reached: true, notice: n}
}

func (g *Gate) logTry(req *routedRequest, r result) {
	e := g.log.Info()
	if r.outcome != done {
		e = g.log.Warn()
	}
	status := 0
	if r.response != nil {
		status = r.response.Status
	}
	t, _ := g.agent.Target()
	withAccount(e, req).Str("request", req.id).Str("service", req.service).Str("route", req.route).Str("flow", req.flow()).Int("rank", req.priority).Str("target", t.ID).Str("outcome", string(r.outcome)).
		Int("status", status).Str("reason", r.reason).Bool("reached", r.reached).Dur("retryAfter", r.retryAfter).
		Dur("waited", r.waited).Dur("ran", r.ran).Dur("since", time.Since(req.request.Received)).
		Dur("left", time.Until(req.deadline)).Dur("objective", time.Until(req.objective)).Bool("eager", req.noWait).
		Int("running", r.load.Running).Int("waiting", r.load.Queued).Int("slots", r.load.Limit).
		Int64("body", req.bodyBytes()).Int64("bodies", g.queue.bodyBytes()).
		Float64("limit", r.notice.limit.Rate).Bool("leaving", r.notice.leaving).
		Uint64("version", req.version).Msg("request left the gate")
	count("gate", string(r.outcome))
	countQueueRefusal(&r)
	setTargetLimit(g.queue.limit().Rate)
	setTargetBodyBytes(g.queue.bodyBytes())
}

func (g *Gate) service(name string) *routes.Service {
	if t := g.agent.View().Routes; t != nil {
		return t.Service(name)
	}
	return nil
}
