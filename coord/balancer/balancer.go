package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/internal/quantile"
	"bramleyquay.example/coord/table"
)

// Balancer prefers the target with the least expected delay by this process's
// own requests in progress and the gates' reports in answers, and avoids
// stragglers. It is the Selector in use.
type Balancer struct {
	config   Config
	random   *rand.Rand
	targets  []*state
	byID     map[table.MemberID]*state
	latency  *quantile.Window
	picks    uint64
	ejection bool
	counters Counters
}

// Indexes and values of the latency quantiles.
const (
	median = iota
	tail

	medianPercent = 50
	tailPercent   = 95
)

const (
	// levelSamples is the number of answers from which the latency level of the
	// service is known. Before that no target is suspected.
	levelSamples = 30
	// widestTail bounds the 95th percentile in the definition of slow, as a
	// multiple of the median. Stragglers themselves raise the percentile; the
	// bound keeps one at ten times the usual latency recognisable.
	widestTail = 5.0
	// sameCost is the difference in requests below which two targets count as
	// equal, so that decayed reports do not decide against the near one.
	sameCost = 0.25
	// crowded is the cost of the best other target from which a suspect is
	// compared as well: more than half a limit of requests waits there.
	crowded = 3.0
)

// New returns a balancer without targets, with ejection on.
func New(c Config, random *rand.Rand) *Balancer {
	c = c.withDefaults()
	return &Balancer{
		config:   c,
		random:   random,
		byID:     map[table.MemberID]*state{},
		latency:  quantile.NewWindow(c.LatencyHalfWindow, levelSamples, medianPercent, tailPercent),
		ejection: true,
	}
}

// SetTargets implements Selector.
func (c *Balancer) SetTargets(_ clock.Reading, targets []Target) {
	known := c.byID
	c.byID = make(map[table.MemberID]*state, len(targets))
	c.targets = c.targets[:0]
	for _, t := range targets {
		s := known[t.ID]
		if s == nil {
			s = &state{}
		}
		s.Target = t
		c.byID[t.ID] = s
		c.targets = append(c.targets, s)
	}
}

// SetEjection switches the avoidance of suspects. While it is off, suspects
// are still listed.
func (c *Balancer) SetEjection(on bool) { c.ejection = on }

// Started implements Selector.
func (c *Balancer) Started(now clock.Reading, id table.MemberID) {
	if s := c.byID[id]; s != nil {
		s.starts = append(s.starts, now.Mono)
	}
}

// Finished implements Selector.
func (c *Balancer) Finished(now clock.Reading, id table.MemberID, r Result) {
	s := c.byID[id]
	if s == nil {
		return
	}
	late := c.late(s)
	s.finish(now, r.Latency)
	if r.Load != nil {
		s.report(now, r.Load)
	}
	if r.Kind == Refused {
		s.refused(now, c.config.ReportAge)
	}
	switch {
	case r.Kind != Refused && late > 0 && r.Latency > verySlow*late:
		s.suspect.bad(2, c.config.SuspectThreshold)
	case r.Kind == Failed, r.Kind != Refused && late > 0 && r.Latency > late:
		s.suspect.bad(1, c.config.SuspectThreshold)
	case r.Kind == OK:
		s.suspect.good()
	}
	if r.Kind == OK {
		c.latency.Record(now, r.Latency)
	}
	c.review(now, s, c.late(s))
}

// late is the latency above which a request at the target counts as slow, or
// zero while the level of the service is unknown.
func (c *Balancer) late(s *state) time.Duration {
	m, t := c.latency.Quantile(median), c.latency.Quantile(tail)
	if m == 0 {
		return 0
	}
	t = min(t, time.Duration(widestTail*float64(m)))
	late := max(c.config.SlowFactor*float64(m), c.config.TailFactor*float64(t))
	return max(c.config.MinSlowLatency, time.Duration(late*s.patience()))
}

// review begins or ends the suspicion of one target.
func (c *Balancer) review(now clock.Reading, s *state, late time.Duration) {
	overdue := s.overdue(now, late)
	evidence := s.suspect.evidence + float64(overdue)
	if overdue > 0 {
		evidence += float64(s.overdue(now, verySlow*late))
	}
	switch p := &s.suspect; {
	case !p.active && evidence >= c.config.SuspectThreshold:
		c.counters.Suspected++
		p.start(now, c.picks, c.config.MinProbeInterval)
	case p.active && overdue == 0 && p.normal >= c.config.ReinstateAfterSuccesses:
		c.counters.Reinstated++
		p.end(c.config.SuspectThreshold)
	}
}

// ReviewSuspects suspects the targets whose requests in progress are late, before
// those requests end. Pick does the same for the targets that it compares;
// call ReviewSuspects on a timer if picks are rare.
func (c *Balancer) ReviewSuspects(now clock.Reading) {
	for _, s := range c.targets {
		c.review(now, s, c.late(s))
	}
}

// Suspects lists the suspected targets. The list is empty in the usual case.
func (c *Balancer) Suspects(now clock.Reading) []Suspect {
	c.ReviewSuspects(now)
	var list []Suspect
	for _, s := range c.targets {
		if p := &s.suspect; p.active {
			list = append(list, Suspect{ID: s.ID, For: now.Mono - p.since, Evidence: p.evidence,
				Overdue: s.overdue(now, c.late(s)), Applied: c.ejection})
		}
	}
	return list
}

// Counters returns the counts so far.
func (c *Balancer) Counters() Counters { return c.counters }

func (s *state) eligible(exclude []table.MemberID) bool {
	return !s.Draining && !slices.Contains(exclude, s.ID)
}
