package balancer

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// suspicion is the outlier detection state of one target. Times are monotonic.
type suspicion struct {
	// evidence grows with each slow or failed request and falls by normalWeight
	// with each normal answer. reviewTarget adds the overdue requests in progress
	// before it compares the evidence with the threshold.
	evidence float64
	active   bool
	since    time.Duration // start of the suspicion
	// normalInRow is the number of normal answers in a row.
	normalInRow int
	// lastProbe is the time of the last probe, or before the first one the start of
	// the suspicion. probeInterval is the shortest time to the next probe, and
	// picksAtProbe the balancer's number of picks at lastProbe.
	lastProbe, probeInterval time.Duration
	picksAtProbe             uint64
}

const (
	// normalWeight is the evidence that one normal answer removes. With one
	// point, a target becomes a suspect sooner or later if more than half of its
	// answers are slow, or more than a third are very slow.
	normalWeight = 1.0
	// verySlowFactor is the ratio to the slow latency above which a request counts
	// twice. It separates a straggler at ten times the usual latency from noise
	// at twice, for which single slow answers are common.
	verySlowFactor = 2
	// maxEvidenceFactor bounds the evidence as a multiple of the threshold, so that
	// a few normal answers outweigh even a long slow phase.
	maxEvidenceFactor = 1.5
)

// Suspect is a target that outlier detection considers slow or failing.
type Suspect struct {
	ID table.MemberID
	// For is the time for which the target has been a suspect.
	For time.Duration
	// Evidence is the weight of its slow and failed requests, less that of its
	// normal answers. Requests that are overdue now count only in Overdue.
	Evidence float64
	// Overdue is the number of its requests in progress that take longer than the
	// slow latency.
	Overdue int
	// Applied is false while ejection is disabled: the target is only listed for
	// the operator and gets requests like others.
	Applied bool
}

// Counters are the counts of a Balancer since New.
type Counters struct {
	// Suspected counts the targets that became suspects, Reinstated those that
	// ceased to be.
	Suspected, Reinstated uint64
	// Probes counts the requests sent to suspects to test them.
	Probes uint64
}

// addEvidence counts a slow or failed request.
func (s *suspicion) addEvidence(weight, threshold float64) {
	s.evidence = min(s.evidence+weight, threshold*maxEvidenceFactor)
	s.normalInRow = 0
}

// recordNormal counts a normal answer.
func (s *suspicion) recordNormal() {
	s.evidence = max(s.evidence-normalWeight, 0)
	s.normalInRow++
}

func (s *suspicion) start(now clock.Reading, picks uint64, interval time.Duration) {
	s.active, s.since, s.normalInRow = true, now.Mono, 0
	s.probeInterval, s.lastProbe, s.picksAtProbe = interval, now.Mono, picks
}

// end reinstates the target. Most of the evidence stays, so that a target that is
// still slow becomes a suspect again after one slow answer.
func (s *suspicion) end(threshold float64) {
	s.active = false
	s.evidence = max(threshold-1, 0)
}
