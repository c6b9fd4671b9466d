package loadsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/retry"
	"bramleyquay.example/coord/table"
)

// deployment is the size and the one-way network delays of one deployment; see
// section 10 of the design page.
type deployment struct {
	name                          string
	slots, targets, dataCentres   int
	betweenDataCentres, toCallers time.Duration
}

var (
	muscat3  = deployment{"Muscat, 3 targets", 12, 3, 3, 500 * time.Microsecond, 3 * time.Millisecond}
	muscat4  = deployment{"Muscat, 4 targets", 12, 4, 3, 500 * time.Microsecond, 3 * time.Millisecond}
	cascadia = deployment{"Cascadia", 6, 4, 4, 500 * time.Microsecond, time.Millisecond}
)

const (
	meanServiceTime = 5 * time.Millisecond
	timeout         = 2 * time.Second
	// warmUp is the time that a cold target needs to become warm. The ramp is twice
	// as long, as an operator would configure it.
	warmUp       = 5 * time.Second
	rampDuration = 10 * time.Second
)

// scenario configures one run of the simulation. There are as many ingresses as
// targets.
type scenario struct {
	deployment
	// load is the ratio of the offered rate to the rate of all slots of warm targets.
	load float64
	// loadFactor returns the factor of the rate at a time; nil leaves it constant.
	loadFactor   func(time.Duration) float64
	paymentShare float64
	// skew is the share of requests that arrive at the first ingress; the others
	// arrive at a random one.
	skew float64
	// length is the virtual time of the run.
	length time.Duration
	// skip is the time at the start of the run whose latencies are not counted.
	skip     time.Duration
	selector func(string, *rand.Rand) balancer.Selector
	hedging  bool
	// noRamp gives the gates a fixed limit, and KeepQueueWhenSlow.
	noRamp bool
	// cold is set if the targets are cold at the start.
	cold bool
	// phases returns the slow phases of a target; nil means none.
	phases  func(target int) []slowPhase
	reports reports
	seed    uint64
	// prepare is called once with the cluster before the run; it may be nil.
	prepare func(*cluster)
}

// reports is the quality of the load reports of the targets.
type reports int

const (
	// exact reports are the load at the time of the answer. The baselines get
	// stale ones nevertheless.
	exact reports = iota
	// stale reports are 500 ms to 1 s old.
	stale
	// misleading reports are stale, and the first target is always reported as idle,
	// the last one as full.
	misleading
)

// String returns the word that stands for r in the names of the subtests.
func (r reports) String() string { return [...]string{"exact", "late", "false"}[r] }

type cluster struct {
	scenario
	loop     *eventLoop
	gates    map[table.MemberID]*gate
	gateList []*gate
	ingress  []*ingress
	nextID   uint64
	result   *result
	arrivals *rand.Rand
}

// newBalancer returns the balancer that the servers use.
func newBalancer(dataCentre string, r *rand.Rand) balancer.Selector {
	return balancer.New(balancer.Config{DataCentre: dataCentre}, r)
}

func newBaseline(kind balancer.BaselineKind) func(string, *rand.Rand) balancer.Selector {
	return func(_ string, r *rand.Rand) balancer.Selector { return balancer.NewBaseline(kind, r) }
}

// run simulates a scenario and returns the cluster at its end.
func run(s scenario) *cluster {
	c := &cluster{scenario: s, loop: &eventLoop{}, gates: map[table.MemberID]*gate{}, result: newResult(s.length)}
	var targets []balancer.Target
	for i := range s.targets {
		c.addGate(i)
		targets = append(targets, balancer.Target{ID: c.gateList[i].id, DataCentre: fmt.Sprint(c.gateList[i].dataCentre), Slots: s.slots})
	}
	for i := range s.targets {
		r := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		in := &ingress{cluster: c, dataCentre: i % s.dataCentres, hedging: s.hedging,
			selector: s.selector(fmt.Sprint(i%s.dataCentres), r), policy: retry.New(retry.Config{}, r)}
		in.selector.SetTargets(c.loop.reading(), targets)
		c.ingress = append(c.ingress, in)
	}
	c.reportLoad()
	c.arrivals = rand.New(rand.NewPCG(s.seed, 1))
	if s.prepare != nil {
		s.prepare(c)
	}
	c.arrive()
	c.loop.runUntil(s.length)
	return c
}

func (c *cluster) addGate(i int) {
	config := admission.Config{Slots: c.slots, RampStartSlots: 1, RampDuration: rampDuration, QueueLength: 256}
	if c.noRamp {
		config.RampDuration, config.KeepQueueWhenSlow = 0, true
	}
	target := &simulatedTarget{loop: c.loop, random: rand.New(rand.NewPCG(c.seed, uint64(10+i))), slots: c.slots, mean: meanServiceTime, warmth: 1}
	if c.cold {
		target.warmUp, target.warmth = warmUp, 0
	} else {
		// A warm target starts at its full limit.
		config.RampDuration = 0
	}
	g := &gate{loop: c.loop, id: table.MemberID(fmt.Sprint("t", i)), dataCentre: i % c.dataCentres,
		limiter: admission.New(config, c.loop.reading()), target: target, calls: map[uint64]*call{}}
	if !c.cold && !c.noRamp {
		config.RampDuration = rampDuration
		g.limiter.Configure(c.loop.reading(), config)
	}
	if c.phases != nil {
		target.phases = c.phases(i)
	}
	c.gates[g.id], c.gateList = g, append(c.gateList, g)
}

// reportLoad passes load reports to the baselines every 500 ms, always the one
// before the last, and replaces the gates' load in answers by the stale or
// misleading reports of the scenario.
func (c *cluster) reportLoad() {
	const reportInterval = 500 * time.Millisecond
	for i, g := range c.gateList {
		var previous, current balancer.GateLoad
		misreport := func(l balancer.GateLoad) balancer.GateLoad {
			if c.reports == misleading && i == 0 {
				return balancer.GateLoad{Limit: c.slots}
			} else if c.reports == misleading && i == len(c.gateList)-1 {
				return balancer.GateLoad{Running: c.slots, Limit: c.slots, Queued: c.slots}
			}
			return l
		}
		var refresh func()
		refresh = func() {
			s := g.limiter.Status(c.loop.reading())
			previous, current = current, balancer.GateLoad{Running: s.Running, Limit: s.Limit, Queued: s.Queued}
			for _, in := range c.ingress {
				if b, ok := in.selector.(*balancer.Baseline); ok {
					b.Report(g.id, misreport(previous))
				}
			}
			c.loop.after(reportInterval, refresh)
		}
		refresh()
		if c.reports != exact {
			g.report = func(admission.Status) balancer.GateLoad { return misreport(previous) }
		}
	}
}

func (c *cluster) delay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return c.betweenDataCentres
}

// arrive creates requests at random ingresses with exponentially distributed
// intervals.
func (c *cluster) arrive() {
	rate := c.load * float64(c.targets*c.slots) / meanServiceTime.Seconds() // requests per second
	if c.loadFactor != nil {
		rate *= c.loadFactor(c.loop.now)
	}
	c.loop.after(time.Duration(c.arrivals.ExpFloat64()/rate*1e9), func() {
		now := c.loop.now
		r := &request{payment: c.arrivals.Float64() < c.paymentShare, arrived: now, deadline: now + timeout}
		at := c.arrivals.IntN(len(c.ingress))
		if c.arrivals.Float64() < c.skew {
			at = 0
		}
		c.ingress[at].acceptRequest(r)
		c.arrive()
	})
}

// countInterval is the resolution of the counts by time of arrival.
const countInterval = 100 * time.Millisecond

// result collects the latencies that callers see, with the timeout for requests
// that were not served, and the numbers of requests. Latencies of requests that
// arrived before skip are left out.
type result struct {
	latency [2][]time.Duration // browse, payment
	// offered and served count requests by class and interval of arrival.
	offered, served [2][]int
	// answered counts served requests by the second of the answer.
	answered []int
	// total and failed count requests, extra the attempts after the first of each
	// request, and ranTwice the payments that ran more than once.
	total, failed, extra, ranTwice int
}

func newResult(length time.Duration) *result {
	r := &result{answered: make([]int, length/time.Second+1)}
	for class := range 2 {
		r.offered[class] = make([]int, length/countInterval+1)
		r.served[class] = make([]int, length/countInterval+1)
	}
	return r
}

func (r *result) recordFinished(c *cluster, q *request, served bool) {
	class := 0
	if q.payment {
		class = 1
		if q.runs > 1 {
			r.ranTwice++
		}
	}
	r.offered[class][q.arrived/countInterval]++
	if served {
		r.served[class][q.arrived/countInterval]++
		r.answered[c.loop.now/time.Second]++
	} else {
		r.failed++
	}
	r.total++
	if q.arrived < c.skip {
		return
	}
	latency := timeout
	if served {
		latency = c.loop.now - q.arrived
	}
	r.latency[class] = append(r.latency[class], latency+2*c.toCallers)
}

func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(int(p/100*float64(len(sorted))), len(sorted)-1)]
}

func (r *result) all() []time.Duration { return append(slices.Clone(r.latency[0]), r.latency[1]...) }

// servedFraction returns the fraction of the requests of a class that arrived
// between two times and were served.
func (r *result) servedFraction(class int, from, to time.Duration) float64 {
	var offered, served int
	for i := from / countInterval; i < to/countInterval; i++ {
		offered, served = offered+r.offered[class][i], served+r.served[class][i]
	}
	return float64(served) / float64(max(offered, 1))
}

func (r *result) extraFraction() float64  { return float64(r.extra) / float64(max(r.total, 1)) }
func (r *result) failedFraction() float64 { return float64(r.failed) / float64(max(r.total, 1)) }
