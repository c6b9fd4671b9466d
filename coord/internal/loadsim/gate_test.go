package loadsim

import (
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
)

// gate simulates the gate of one target: it runs a Limiter and dispatches requests
// to the simulated target.
type gate struct {
	loop       *eventLoop
	id         table.MemberID
	dataCentre int
	limiter    *admission.Limiter
	target     *simulatedTarget
	calls      map[uint64]*call
	ticking    bool // a call of Tick is scheduled
	// report replaces the reported load, if it is set.
	report func(admission.Status) balancer.GateLoad
}

// call is one attempt of a request at a gate.
type call struct {
	request *request
	id      uint64
	gate    *gate
	sentAt  time.Duration
	running bool
	ended   bool
	// answer is called at the time when the gate answers, with nil or a refusal.
	answer func(*outcome.Refusal, balancer.GateLoad)
}

func (g *gate) offer(c *call, deadline time.Duration) {
	g.calls[c.id] = c
	r := admission.Request{ID: c.id, Deadline: g.loop.reading().Add(deadline - g.loop.now)}
	if c.request.payment {
		r.Class = admission.Payment
	}
	g.apply(g.limiter.Offer(g.loop.reading(), r))
}

// apply carries out the limiter's actions.
func (g *gate) apply(actions []admission.Action) {
	for _, a := range append([]admission.Action(nil), actions...) {
		c := g.calls[a.ID]
		if a.Kind == admission.Refuse {
			delete(g.calls, a.ID)
			c.answer(a.Refusal, g.load())
			continue
		}
		c.running = true
		c.request.runs++
		serviceTime := g.target.dispatch()
		g.loop.after(serviceTime, func() {
			if c.ended {
				return
			}
			delete(g.calls, c.id)
			g.target.end()
			g.apply(g.limiter.Done(g.loop.reading(), c.id, admission.Sample{ServiceTime: serviceTime}))
			c.answer(nil, g.load())
		})
	}
	g.schedule()
}

// cancel ends an attempt that the ingress has cancelled.
func (g *gate) cancel(c *call) {
	if g.calls[c.id] == nil {
		return
	}
	delete(g.calls, c.id)
	c.ended = true
	if c.running {
		g.target.end()
	}
	g.apply(g.limiter.Cancel(g.loop.reading(), c.id))
}

// schedule calls the limiter's Tick when it is due.
func (g *gate) schedule() {
	if next, ok := g.limiter.NextTick(g.loop.reading()); ok && !g.ticking {
		g.ticking = true
		g.loop.after(max(next, time.Millisecond), func() {
			g.ticking = false
			g.apply(g.limiter.Tick(g.loop.reading()))
		})
	}
}

func (g *gate) load() balancer.GateLoad {
	s := g.limiter.Status(g.loop.reading())
	if g.report != nil {
		return g.report(s)
	}
	return balancer.GateLoad{Running: s.Running, Limit: s.Limit, Queued: s.Queued}
}
