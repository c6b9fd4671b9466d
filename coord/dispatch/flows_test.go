package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/dispatch"
)

// flow is a stream of requests to one target, as a Poisson process.
type flow struct {
	request   dispatch.Request // times relative to the arrival
	perSecond float64
	// service is the mean of service times; one in 100 takes five times longer.
	service time.Duration
	// retries bounds how often a refused caller tries again; it waits for Retry-After.
	retries int
}

// ends counts the requests of a flow by their end.
type ends struct {
	requests, inTime, late, refused, expired, attempts int
	// heldBack and useless count the refusals after a wait of more than half of the
	// latency objective, and of more than all of it; waits has all waits before refusals.
	heldBack, useless int
	waits             []time.Duration
}

func (e ends) served() int { return e.inTime + e.late }

// meanWait returns the mean wait before a refusal.
func (e ends) meanWait() time.Duration {
	var sum time.Duration
	for _, w := range e.waits {
		sum += w
	}
	return sum / time.Duration(max(len(e.waits), 1))
}

// attempt is one offer of a caller's request.
type attempt struct {
	flow           int
	first, offered time.Duration
	retries        int
}

// player sends flows through a queue in virtual time.
type player struct {
	queue   *dispatch.Queue
	flows   []flow
	ends    []ends
	rng     *rand.Rand
	now     time.Duration
	pending events
	open    map[uint64]*attempt
	lastID  uint64
}

func (p *player) after(d time.Duration, run func()) {
	heap.Push(&p.pending, event{p.now + d, run})
}

// play sends a minute of the flows through a queue.
func play(cfg dispatch.Config, flows []flow, seed uint64) []ends {
	p := &player{queue: dispatch.New(cfg), flows: flows, ends: make([]ends, len(flows)), rng: rand.New(rand.NewPCG(seed, 2)), open: map[uint64]*attempt{}}
	for i, f := range flows {
		var arrive func()
		arrive = func() {
			p.ends[i].requests++
			p.offer(&attempt{flow: i, first: p.now, retries: f.retries})
			p.after(time.Duration(p.rng.ExpFloat64()/f.perSecond*float64(time.Second)), arrive)
		}
		p.after(time.Duration(p.rng.ExpFloat64()/f.perSecond*float64(time.Second)), arrive)
	}
	var tick func()
	tick = func() {
		p.carryOut(p.queue.Tick(clock.At(p.now)))
		p.after(20*ms, tick)
	}
	p.after(0, tick)
	for p.now < time.Minute {
		e := heap.Pop(&p.pending).(event)
		p.now = e.at
		e.run()
	}
	return p.ends
}

func (p *player) offer(a *attempt) {
	p.lastID++
	a.offered = p.now
	p.open[p.lastID] = a
	p.ends[a.flow].attempts++
	r := p.flows[a.flow].request
	r.ID, r.Arrived, r.Objective, r.Deadline = p.lastID, p.now, p.now+r.Objective, a.first+r.Deadline
	p.carryOut(p.queue.Offer(clock.At(p.now), r))
}

func (p *player) carryOut(actions []dispatch.Action) {
	for _, action := range actions {
		a := p.open[action.ID]
		f, e := &p.flows[a.flow], &p.ends[a.flow]
		if action.Start {
			p.after(p.serviceTime(f.service), func() { p.finish(action.ID) })
			continue
		}
		delete(p.open, action.ID)
		wait := p.now - a.offered
		e.waits = append(e.waits, wait)
		if wait > f.request.Objective/2 {
			e.heldBack++
		}
		if wait > f.request.Objective {
			e.useless++
		}
		if a.retries > 0 && p.now+action.RetryAfter < a.first+f.request.Deadline {
			a.retries--
			p.after(action.RetryAfter, func() { p.offer(a) })
			continue
		}
		e.refused++
	}
}

func (p *player) finish(id uint64) {
	a := p.open[id]
	delete(p.open, id)
	r, e := p.flows[a.flow].request, &p.ends[a.flow]
	switch {
	case p.now > a.first+r.Deadline:
		e.expired++
	case p.now > a.first+r.Objective:
		e.late++
	default:
		e.inTime++
	}
	p.carryOut(p.queue.Done(clock.At(p.now), id, true))
}

// serviceTime draws from half to one and a half times a base, one in 100 five times
// longer, with the given mean.
func (p *player) serviceTime(mean time.Duration) time.Duration {
	d := float64(mean) / 1.04 * (0.5 + p.rng.Float64())
	if p.rng.IntN(100) == 0 {
		d *= 5
	}
	return time.Duration(d)
}

// playSeeds sums up several minutes.
func playSeeds(t *testing.T, cfg dispatch.Config, flows []flow) []ends {
	t.Helper()
	sum := make([]ends, len(flows))
	for seed := range uint64(5) {
		for i, e := range play(cfg, flows, seed) {
			s := &sum[i]
			s.requests, s.inTime, s.late, s.refused, s.expired = s.requests+e.requests, s.inTime+e.inTime, s.late+e.late, s.refused+e.refused, s.expired+e.expired
			s.attempts, s.heldBack, s.useless, s.waits = s.attempts+e.attempts, s.heldBack+e.heldBack, s.useless+e.useless, append(s.waits, e.waits...)
		}
	}
	for i, e := range sum {
		t.Logf("%s priority %d: requests %d in time %d late %d refused %d expired %d attempts %d; refusals held back %d useless %d mean wait %s",
			flows[i].request.ServiceTimeGroup, flows[i].request.Priority, e.requests, e.inTime, e.late, e.refused, e.expired, e.attempts, e.heldBack, e.useless, e.meanWait().Round(ms))
	}
	return sum
}
