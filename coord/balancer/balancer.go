package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/internal/quantile"
	"bramleyquay.example/coord/table"
)

// Balancer is the Selector that the router uses. It prefers the target with the
// least expected delay, estimated from this process's requests in progress and
// from the load that gates report in their answers. Outlier detection marks slow
// or failing targets as suspects, which get only probes while others are
// available. It is not safe for concurrent use.
type Balancer struct {
	config   Config
	random   *rand.Rand
	targets  []*targetState
	byID     map[table.MemberID]*targetState
	latency  *quantile.Window
	picks    uint64 // calls of Pick, PickWithoutProbe and Order
	ejection bool
	counters Counters
	room     room
}

// Indexes of the latency quantiles, and the quantiles in percent.
const (
	median = iota
	tail

	medianPercent = 50
	tailPercent   = 95
)

const (
	// minLatencySamples is the number of answers that are needed to know the usual
	// latency of the service. Until then no target is suspected for slow answers.
	minLatencySamples = 30
	// maxTailRatio bounds the 95th percentile that slowLatency uses, as a multiple
	// of the median. Stragglers themselves raise the percentile; with the bound,
	// one at ten times the usual latency is still detected.
	maxTailRatio = 5.0
	// costTolerance is the difference in cost, in requests, below which two targets
	// count as equal, so that the small remainder of an old load report does not
	// decide against a target in the same data centre.
	costTolerance = 0.25
	// crowdedCost is the cost of the best healthy target above which suspects are
	// compared with it. Without refusals, more requests than 0.4 of the gate's limit
	// wait at such a target.
	crowdedCost = 3.0
)

// New returns a balancer without targets and with ejection enabled.
func New(c Config, random *rand.Rand) *Balancer {
	c = c.withDefaults()
	return &Balancer{
		config:   c,
		random:   random,
		byID:     map[table.MemberID]*targetState{},
		latency:  quantile.NewWindow(c.LatencyHalfWindow, minLatencySamples, medianPercent, tailPercent),
		ejection: true,
	}
}

// SetTargets implements Selector.
func (b *Balancer) SetTargets(_ clock.Reading, targets []Target) {
	previous := b.byID
	b.byID = make(map[table.MemberID]*targetState, len(targets))
	b.targets = b.targets[:0]
	for _, t := range targets {
		s := previous[t.ID]
		if s == nil {
			s = &targetState{}
		}
		s.setDirectoryWeight(t.Weight)
		s.Target = t
		b.byID[t.ID] = s
		b.targets = append(b.targets, s)
	}
}

// SetEjection enables or disables the ejection of suspects. While it is disabled,
// suspects are listed and get requests like other targets.
func (b *Balancer) SetEjection(on bool) { b.ejection = on }

// Started implements Selector.
func (b *Balancer) Started(now clock.Reading, id table.MemberID) {
	if s := b.byID[id]; s != nil {
		s.starts = append(s.starts, now.Mono)
	}
}

// Finished implements Selector.
func (b *Balancer) Finished(now clock.Reading, id table.MemberID, r Result) {
	s := b.byID[id]
	if s == nil {
		return
	}
	slowLatency := b.slowLatency(s)
	s.removeStart(now, r.Latency)
	if r.Load != nil {
		s.recordReport(now, r.Load)
	}
	if r.Kind == Refused {
		s.recordRefusal(now, b.config.ReportAge)
	}
	if r.NoWait && r.Kind != Cancelled {
		b.room.record(now.Mono, b.sameDataCentre(s), r.Kind == Refused, r.Latency)
	}
	switch {
	case r.Kind != Refused && slowLatency > 0 && r.Latency > verySlowFactor*slowLatency:
		s.suspect.addEvidence(2, b.config.SuspectThreshold)
	case r.Kind == Failed, r.Kind != Refused && slowLatency > 0 && r.Latency > slowLatency:
		s.suspect.addEvidence(1, b.config.SuspectThreshold)
	case r.Kind == OK:
		s.suspect.recordNormal()
	}
	if r.Kind == OK {
		b.latency.Record(now, r.Latency)
	}
	b.reviewTarget(now, s, b.slowLatency(s))
}

// slowLatency returns the latency above which a request to the target counts as
// slow, or zero while the usual latency of the service is unknown.
func (b *Balancer) slowLatency(s *targetState) time.Duration {
	m, t := b.latency.Quantile(median), b.latency.Quantile(tail)
	if m == 0 {
		return 0
	}
	t = min(t, time.Duration(maxTailRatio*float64(m)))
	slow := max(b.config.SlowFactor*float64(m), b.config.TailFactor*float64(t))
	return max(b.config.MinSlowLatency, time.Duration(slow*s.queueFactor()))
}

// reviewTarget marks a target as a suspect or reinstates it, if due.
func (b *Balancer) reviewTarget(now clock.Reading, s *targetState, slowLatency time.Duration) {
	overdue := s.overdue(now, slowLatency)
	evidence := s.suspect.evidence + float64(overdue)
	if overdue > 0 {
		evidence += float64(s.overdue(now, verySlowFactor*slowLatency))
	}
	switch p := &s.suspect; {
	case !p.active && evidence >= b.config.SuspectThreshold:
		b.counters.Suspected++
		p.start(now, b.picks, b.config.MinProbeInterval)
	case p.active && overdue == 0 && p.normalInRow >= b.config.ReinstateAfterSuccesses:
		b.counters.Reinstated++
		p.end(b.config.SuspectThreshold)
	}
}

// ReviewSuspects marks targets as suspects whose requests in progress are overdue,
// before those requests end. Pick does the same for the targets that it compares;
// call ReviewSuspects on a timer if picks are rare.
func (b *Balancer) ReviewSuspects(now clock.Reading) {
	for _, s := range b.targets {
		b.reviewTarget(now, s, b.slowLatency(s))
	}
}

// Suspects reviews all targets and returns the suspects. The list is usually
// empty.
func (b *Balancer) Suspects(now clock.Reading) []Suspect {
	b.ReviewSuspects(now)
	var list []Suspect
	for _, s := range b.targets {
		if p := &s.suspect; p.active {
			list = append(list, Suspect{ID: s.ID, For: now.Mono - p.since, Evidence: p.evidence,
				Overdue: s.overdue(now, b.slowLatency(s)), Applied: b.ejection})
		}
	}
	return list
}

// Counters returns the counts since New.
func (b *Balancer) Counters() Counters { return b.counters }

// eligible reports whether a target may get requests.
func (s *targetState) eligible(exclude []table.MemberID) bool {
	return !s.Draining && !slices.Contains(exclude, s.ID)
}
