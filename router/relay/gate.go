package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/timesource"
)

// Reasons of refusals by the gate.
const (
	reasonNoTarget = "no target"
	// Without the document the gate does not know what a cold target bears.
	reasonUnknown  = "service not known yet"
	reasonDrained  = "drained"
	reasonNotOwner = "not owner"
	reasonNotHeld  = "key not granted yet"
	reasonLeft     = "caller left"
	reasonShed     = "target refused"
	reasonDial     = "no connection"
	reasonBroken   = "answer broke off"
	reasonForeign  = "answer without signature"
)

// moved reports whether a refusal leaves open that another process has the key
// of the request by now. The owner's other refusals are final.
func (r *result) moved() bool {
	return r.reason != reasonNotHeld && r.reason != reasonLeft && !slices.Contains(queueReasons, r.reason)
}

// queueReasons are the refusals of a gate that may run the request.
var queueReasons = []string{dispatch.ReasonNoFreeSlot, dispatch.ReasonQueueFull, dispatch.ReasonWouldMissDeadline, dispatch.ReasonDeadlinePassed}

// maxGrantWait is the longest wait at the gate for a key that the table gives
// to the target and that the target does not hold yet. A longer one is better
// spent by the caller, who is told when to come back.
const maxGrantWait = 250 * time.Millisecond

// Gate is the only way to the target beside the process.
type Gate struct {
	agent  *fleetagent.Agent
	names  HeaderNames
	client *httpclient.Client
	room   *waitingRoom
	log    logging.Logger
}

// NewGate returns the gate to the target that client reaches.
func NewGate(agent *fleetagent.Agent, names HeaderNames, client *httpclient.Client, log logging.Logger) *Gate {
	g := &Gate{agent: agent, names: names, client: client, room: newWaitingRoom(1), log: log}
	agent.SetUsage(g.room.usage)
	return g
}

// do runs one request at the target. ctx ends when its caller leaves or its
// time is over.
func (g *Gate) do(ctx context.Context, j *job) result {
	r := g.run(ctx, j)
	r.load = g.room.load()
	g.logTry(j, r)
	return r
}

func (g *Gate) run(ctx context.Context, j *job) result {
	if j.sharded {
		g.agent.CountRequest(j.key)
		if r, ok := g.awaitKey(ctx, j); !ok {
			return r
		}
	}
	t, r, ok := g.admits(j)
	if !ok {
		return r
	}
	rate := 0.0
	if s := g.service(j.service); s != nil {
		rate = s.ColdRate
	}
	// The queue runs on the monotonic clock; the cold time on the boot clock.
	until := timesource.Now().Mono + t.ColdUntil - timesource.BootTime().Mono
	entered := time.Now()
	id, a := g.room.enter(ctx, j, coldness{slots: t.Slots, until: until, rate: rate})
	waited := time.Since(entered)
	if !a.Start {
		r := refused(a.Reason, a.RetryAfter)
		r.waited = waited
		return r
	}
	// The world may have changed while the request waited.
	t, r, ok = g.admits(j)
	if ok && j.sharded {
		if holds, _ := g.agent.Holds(j.key); !holds {
			r, ok = refused(reasonNotOwner, 0), false
		}
	}
	if ok && ctx.Err() != nil {
		r, ok = refused(reasonLeft, 0), false
	}
	if !ok {
		g.room.leave(id, false)
		return r
	}
	begun := time.Now()
	r = g.send(ctx, j, t)
	r.waited, r.ran = waited, time.Since(begun)
	g.room.leave(id, r.kind == done)
	return r
}

// admits checks whether the target may get new requests.
func (g *Gate) admits(j *job) (fleetagent.Target, result, bool) {
	t, ok := g.agent.Target()
	switch {
	case !ok || !t.Accepts || j.service != g.agent.Service():
		return t, refused(reasonNoTarget, 0), false
	case g.service(j.service) == nil:
		return t, refused(reasonUnknown, 0), false
	case !j.sharded && g.agent.View().IsDrained(g.agent.DataCentre()):
		// Keys are served until the target has been told to give them back.
		return t, refused(reasonDrained, 0), false
	}
	return t, result{}, true
}

// awaitKey waits for the target to hold the request's key.
func (g *Gate) awaitKey(ctx context.Context, j *job) (result, bool) {
	for {
		changed := g.agent.Changed()
		holds, owns := g.agent.Holds(j.key)
		t, known := g.agent.Target()
		switch {
		case holds:
			return result{}, true
		case !owns || !known:
			return refused(reasonNotOwner, 0), false
		}
		wait := t.NextAnnouncement - timesource.BootTime().Mono
		if wait > maxGrantWait || time.Until(j.objective) < wait {
			return refused(reasonNotHeld, max(wait, minRetryAfter)), false
		}
		select {
		case <-changed:
		case <-time.After(max(wait, 0) + grantSlack):
			return refused(reasonNotHeld, minRetryAfter), false
		case <-ctx.Done():
			return refused(reasonLeft, 0), false
		}
	}
}

const (
	// grantSlack is how late an announcement may be that a request waits for.
	grantSlack = 50 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller may find
	// anything changed.
	minRetryAfter = 50 * time.Millisecond
)

func (g *Gate) send(ctx context.Context, j *job, t fleetagent.Target) result {
	h := j.header.Clone()
	h.Set(g.names.CallerService, j.caller)
	h.Set(g.names.Target, t.ID)
	h.Set(g.names.DeadlineMs, strconv.FormatInt(max(time.Until(j.deadline).Milliseconds(), 1), 10))
	resp, err := g.client.Do(ctx, &httpclient.Request{
		Method: j.request.Method, URI: j.request.URI, Host: j.request.Host, Header: h, Body: j.request.Body, ID: j.id,
	})
	var unsent *httpclient.NotSentError
	switch {
	case errors.As(err, &unsent):
		if ctx.Err() == nil {
			g.agent.RecordUnreachable(unsent.Refused)
		}
		return refused(reasonDial+": "+unsent.Cause.Error(), 0)
	case err != nil:
		if !errors.Is(err, context.Canceled) {
			g.agent.RecordFailure()
		}
		return result{kind: unknown, reason: reasonBroken + ": " + err.Error(), reached: true}
	}
	g.agent.RecordSuccess()
	switch {
	case resp.Header.Get(g.names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest:
		return result{kind: notRun, reason: reasonShed + " with " + strconv.Itoa(resp.Status), reached: true}
	case resp.Status >= 200 && resp.Status < 300 && resp.Header.Get(g.names.Signature) == "":
		return result{kind: unknown, reason: reasonForeign, reached: true}
	}
	return result{kind: done, response: resp, reached: true}
}

// ServePeer answers a request that a peer's ingress has routed here.
func (g *Gate) ServePeer(ctx context.Context, r *httpserver.Request) *httpserver.Response {
	j, ok := decodeJob(r.Header.Get(headerHop), r, r.Header.Get(g.names.RequestID))
	if !ok {
		return httpserver.TextResponse(http.StatusBadRequest, "the request comes from no peer")
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	res := g.do(ctx, j)
	out := &httpserver.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	if res.kind == done {
		out.Status, out.Header, out.Body = res.response.Status, forwarded(res.response.Header), res.response.Body
		out.Header.Del(g.names.Load)
	} else if j.id != "" {
		out.Header.Set(g.names.RequestID, j.id)
	}
	out.Header.Set(headerHop, encodeResult(res))
	return out
}

func (g *Gate) logTry(j *job, r result) {
	e := g.log.Info()
	if r.kind != done {
		e = g.log.Warn()
	}
	status := 0
	if r.response != nil {
		status = r.response.Status
	}
	t, _ := g.agent.Target()
	e.Str("request", j.id).Str("service", j.service).Str("route", j.route).Int("rank", j.rank).Str("target", t.ID).Str("outcome", string(r.kind)).
		Int("status", status).Str("reason", r.reason).Bool("reached", r.reached).Dur("retryAfter", r.retryAfter).
		Dur("waited", r.waited).Dur("ran", r.ran).Dur("since", time.Since(j.request.Received)).
		Dur("left", time.Until(j.deadline)).Dur("objective", time.Until(j.objective)).Bool("eager", j.eager).
		Int("running", r.load.Running).Int("waiting", r.load.Queued).Int("slots", r.load.Limit).
		Uint64("version", j.version).Msg("request left the gate")
	count("gate", string(r.kind))
}

func (g *Gate) service(name string) *routes.Service {
	if t := g.agent.View().Routes; t != nil {
		return t.Service(name)
	}
	return nil
}
