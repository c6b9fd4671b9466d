package loadsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/quality"
	"bramleyquay.example/coord/table"
)

// fleetSim simulates a service without keys in fleet mode: the gates run
// dispatch.Queue, the ingresses try targets as router/relay does. There are nine
// targets and ingresses in three data centres.
type fleetSim struct {
	loop    *eventLoop
	random  *rand.Rand
	gates   []*fleetGate
	ingress []*balancer.Balancer
	weights bool // the meters' weights are used
	load    float64
	skip    time.Duration // until which requests are not counted

	total, repeated, failed int
	latency                 []time.Duration
	lowered                 int // weights that fell
}

// fleetGate is a target and its gate.
type fleetGate struct {
	queue  *dispatch.Queue
	target *simulatedTarget
	meter  *quality.Meter
	// fault returns how a request ends; random is uniformly distributed.
	fault   func(at time.Duration, random float64) quality.Outcome
	waiting map[uint64]func(dispatch.Action)
}

// fleetRequest is the state of a request over its tries.
type fleetRequest struct {
	at         int
	arrived    time.Duration
	idempotent bool
	exclude    []table.MemberID
	busy       []int
	waits      []time.Duration
	reached    int
	picks      int
}

const (
	fleetTargets, fleetCentres, fleetSlots = 9, 3, 8
	fleetServiceTime                       = 60 * time.Millisecond
	fleetTimeout                           = 2 * time.Second
	fleetAttempts                          = 2
	// earlyEnd is the time of a rejection or of a status of 500 at a target.
	earlyEnd = 2 * time.Millisecond
)

func newFleetSim(weights bool, load float64, speeds []float64, length time.Duration) *fleetSim {
	s := &fleetSim{loop: &eventLoop{}, random: rand.New(rand.NewPCG(*stragglerSeed, 5)), weights: weights, load: load}
	for i := range fleetTargets {
		t := &simulatedTarget{loop: s.loop, random: rand.New(rand.NewPCG(*stragglerSeed, uint64(600+i))), slots: fleetSlots, warmth: 1,
			mean: time.Duration(float64(fleetServiceTime) / speeds[i/fleetCentres%len(speeds)])}
		for at := time.Duration(s.random.Int64N(2e9)); len(speeds) > 1 && at < length; at += 400*time.Millisecond + time.Duration(s.random.ExpFloat64()*1.6e9) {
			t.phases = append(t.phases, slowPhase{at, at + 400*time.Millisecond, 3})
		}
		s.gates = append(s.gates, &fleetGate{queue: dispatch.New(dispatch.DefaultConfig(fleetSlots)), target: t, meter: quality.NewMeter(quality.DefaultConfig()), waiting: map[uint64]func(dispatch.Action){}})
	}
	for i := range fleetTargets {
		s.ingress = append(s.ingress, balancer.New(balancer.Config{DataCentre: fmt.Sprint(i % fleetCentres)}, rand.New(rand.NewPCG(*stragglerSeed, uint64(700+i)))))
	}
	return s
}

// run simulates the arrivals, the ticks of the queues, and the directory, which
// carries the weights about half a second late.
func (s *fleetSim) run(length time.Duration) {
	var arrive, tick, directory func()
	arrive = func() {
		s.try(&fleetRequest{at: s.random.IntN(fleetTargets), arrived: s.loop.now, idempotent: s.random.Float64() < 0.8})
		rate := s.load * fleetTargets * fleetSlots / fleetServiceTime.Seconds()
		s.loop.after(time.Duration(s.random.ExpFloat64()/rate*1e9), arrive)
	}
	tick = func() {
		for _, g := range s.gates {
			g.apply(g.queue.Tick(s.loop.reading()))
		}
		s.loop.after(20*time.Millisecond, tick)
	}
	directory = func() {
		var list []balancer.Target
		for i, g := range s.gates {
			t := balancer.Target{ID: table.MemberID(fmt.Sprint(i)), DataCentre: fmt.Sprint(i % fleetCentres), Slots: fleetSlots}
			if s.weights {
				t.Weight = g.meter.Published(s.loop.reading())
			}
			list = append(list, t)
		}
		s.loop.after(500*time.Millisecond, func() {
			for _, b := range s.ingress {
				b.SetTargets(s.loop.reading(), list)
			}
		})
		s.loop.after(400*time.Millisecond, directory)
	}
	directory()
	tick()
	s.loop.after(500*time.Millisecond, arrive)
	s.loop.runUntil(length)
}

// try sends a request to the next target, as pickTarget does.
func (s *fleetSim) try(r *fleetRequest) {
	b, now, to, noWait := s.ingress[r.at], s.loop.reading(), -1, true
	if len(r.exclude) < 4 {
		order := b.Order
		if len(r.waits) == 3 && slices.Min(r.waits) > fleetTimeout/2/16 {
			order = b.OrderByCapacity
		}
		if list := order(now, r.exclude...); len(list) > 0 {
			r.exclude = append(r.exclude, list[0])
			to = slices.IndexFunc(s.gates, func(g *fleetGate) bool { return list[0] == s.id(g) })
		}
	}
	if to < 0 && len(r.busy) > 0 {
		i := slices.Index(r.waits, slices.Min(r.waits))
		to, noWait = r.busy[i], false
		r.busy, r.waits = slices.Delete(r.busy, i, i+1), slices.Delete(r.waits, i, i+1)
	}
	if r.picks++; to < 0 || r.picks > 6 {
		s.finish(r, false)
		return
	}
	g, id, sent := s.gates[to], s.id(s.gates[to]), s.loop.now
	b.Started(now, id)
	delay := 200 * time.Microsecond
	if to%fleetCentres != r.at%fleetCentres {
		delay = 1200 * time.Microsecond
	}
	end := func(kind balancer.ResultKind, wait time.Duration) {
		running, waiting, limit := g.queue.Load()
		load := &balancer.GateLoad{Running: running, Limit: limit, Queued: waiting}
		if s.weights {
			load.Weight = g.meter.Weight()
		}
		s.loop.after(delay, func() {
			b.Finished(s.loop.reading(), id, balancer.Result{Latency: s.loop.now - sent, Kind: kind, Load: load})
			s.ended(r, kind, to, wait)
		})
	}
	s.loop.after(delay, func() { s.offer(g, r, noWait, end) })
}

func (s *fleetSim) id(g *fleetGate) table.MemberID {
	return table.MemberID(fmt.Sprint(slices.Index(s.gates, g)))
}

// offer runs a request at a gate; end gets the result.
func (s *fleetSim) offer(g *fleetGate, r *fleetRequest, noWait bool, end func(balancer.ResultKind, time.Duration)) {
	s.loop.serial++
	id := s.loop.serial
	g.waiting[id] = func(a dispatch.Action) {
		if !a.Start {
			end(balancer.Refused, a.RetryAfter)
			return
		}
		outcome, took := quality.Good, earlyEnd
		if g.fault != nil && s.loop.now >= badFrom {
			outcome = g.fault(s.loop.now, s.random.Float64())
		}
		if outcome == quality.Good {
			took = g.target.dispatch()
		}
		s.loop.after(took, func() {
			if outcome == quality.Good {
				g.target.end()
			}
			before := g.meter.Weight()
			if g.meter.Record(s.loop.reading(), outcome) && g.meter.Weight() < before {
				s.lowered++
			}
			actions := g.queue.Done(s.loop.reading(), id, outcome != quality.Rejected)
			kind := map[quality.Outcome]balancer.ResultKind{quality.Good: balancer.OK, quality.Rejected: balancer.Refused, quality.Failed: balancer.Failed}[outcome]
			end(kind, -1) // the target was reached
			g.apply(actions)
		})
	}
	g.apply(g.queue.Offer(s.loop.reading(), dispatch.Request{ID: id, ServiceTimeGroup: "r", Arrived: r.arrived, Objective: r.arrived + fleetTimeout/2, Deadline: r.arrived + fleetTimeout, NoWait: noWait}))
}

func (g *fleetGate) apply(actions []dispatch.Action) {
	for _, a := range actions {
		decide := g.waiting[a.ID]
		delete(g.waiting, a.ID)
		decide(a)
	}
}

// ended decides on another try, as shouldRetry does. wait is negative if the target
// was reached.
func (s *fleetSim) ended(r *fleetRequest, kind balancer.ResultKind, to int, wait time.Duration) {
	switch {
	case kind == balancer.OK:
		r.reached++
		s.finish(r, true)
	case wait >= 0:
		r.busy, r.waits = append(r.busy, to), append(r.waits, wait)
		s.try(r)
	default:
		r.reached++
		if (kind == balancer.Failed && !r.idempotent) || r.reached >= fleetAttempts || s.loop.now > r.arrived+fleetTimeout {
			s.finish(r, false)
			return
		}
		s.try(r)
	}
}

func (s *fleetSim) finish(r *fleetRequest, ok bool) {
	if r.arrived < s.skip {
		return
	}
	s.total++
	took := s.loop.now - r.arrived
	if !ok {
		s.failed++
		took = fleetTimeout
	}
	if !ok || r.reached > 1 {
		s.repeated++
	}
	s.latency = append(s.latency, took)
}
