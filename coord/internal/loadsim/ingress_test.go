package loadsim

import (
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/retry"
	"bramleyquay.example/coord/table"
)

// request is one request of a caller.
type request struct {
	payment   bool
	arrived   time.Duration // at the ingress
	deadline  time.Duration
	attempts  int
	tried     []table.MemberID
	openCalls []*call
	hedged    bool
	done      bool
	// runs counts how often a target started the request.
	runs int
}

// ingress simulates one ingress: it selects targets with a Selector, and decides
// on retries and, if hedging is set, on hedges with a Policy.
type ingress struct {
	cluster    *cluster
	dataCentre int
	selector   balancer.Selector
	policy     *retry.Policy
	hedging    bool
}

func (in *ingress) acceptRequest(r *request) {
	in.policy.CountRequest()
	loop := in.cluster.loop
	loop.after(r.deadline-loop.now, func() { in.finish(r, false) })
	in.send(r)
	if delay, ok := in.policy.HedgeDelay(loop.reading()); ok && in.hedging && !r.payment {
		loop.after(delay, func() { in.hedge(r) })
	}
}

func (in *ingress) hedge(r *request) {
	if r.done || len(r.openCalls) != 1 || r.hedged || !in.policy.Hedge(retry.Attempt{Idempotent: true}) {
		return
	}
	r.hedged = true
	in.cluster.result.extra++
	in.send(r)
}

// send starts one attempt, at a target that was not tried yet if there is one.
func (in *ingress) send(r *request) {
	loop := in.cluster.loop
	pick := in.selector.Pick
	if c, ok := in.selector.(*balancer.Balancer); ok && r.payment {
		pick = c.PickWithoutProbe
	}
	id, ok := pick(loop.reading(), r.tried...)
	if !ok {
		r.tried = r.tried[:0]
		id, _ = in.selector.Pick(loop.reading())
	}
	r.attempts++
	r.tried = append(r.tried, id)
	g := in.cluster.gates[id]
	in.cluster.nextID++
	c := &call{request: r, id: in.cluster.nextID, gate: g, sentAt: loop.now}
	r.openCalls = append(r.openCalls, c)
	in.selector.Started(loop.reading(), id)
	delay := in.cluster.delay(in.dataCentre, g.dataCentre)
	c.answer = func(refusal *outcome.Refusal, load balancer.GateLoad) {
		loop.after(delay, func() { in.answered(r, c, refusal, load) })
	}
	loop.after(delay, func() {
		if !c.ended {
			g.offer(c, r.deadline)
		}
	})
}

// answered handles the answer of one attempt: it answers the caller, retries, or
// waits for the other attempt.
func (in *ingress) answered(r *request, c *call, refusal *outcome.Refusal, load balancer.GateLoad) {
	if !r.close(c) {
		return
	}
	loop := in.cluster.loop
	kind := balancer.OK
	if refusal != nil {
		kind = balancer.Refused
	}
	in.selector.Finished(loop.reading(), c.gate.id, balancer.Result{Latency: loop.now - c.sentAt, Kind: kind, Load: &load})
	if refusal == nil {
		in.policy.Observe(loop.reading(), loop.now-r.arrived)
		in.finish(r, true)
		return
	}
	if len(r.openCalls) > 0 {
		return
	}
	decision := in.policy.Decide(loop.reading(), retry.Attempt{Number: r.attempts, Idempotent: !r.payment, Payment: r.payment,
		Refusal: refusal, OtherTargetAvailable: len(r.tried) < len(in.cluster.gates), Deadline: loop.reading().Add(r.deadline - loop.now)})
	if !decision.Retry {
		in.finish(r, false)
		return
	}
	in.cluster.result.extra++
	loop.after(decision.Wait, func() {
		if !r.done {
			in.send(r)
		}
	})
}

// close removes an attempt from the open calls. It returns false if the attempt
// was cancelled.
func (r *request) close(c *call) bool {
	for i, o := range r.openCalls {
		if o == c {
			r.openCalls = append(r.openCalls[:i], r.openCalls[i+1:]...)
			return true
		}
	}
	return false
}

// finish records the answer to the caller and cancels the attempts that are still
// open.
func (in *ingress) finish(r *request, served bool) {
	if r.done {
		return
	}
	r.done = true
	loop := in.cluster.loop
	for _, c := range r.openCalls {
		in.selector.Finished(loop.reading(), c.gate.id, balancer.Result{Latency: loop.now - c.sentAt, Kind: balancer.Cancelled})
		loop.after(in.cluster.delay(in.dataCentre, c.gate.dataCentre), func() {
			c.ended = true
			c.gate.cancel(c)
		})
	}
	r.openCalls = nil
	in.cluster.result.recordFinished(in.cluster, r, served)
}
