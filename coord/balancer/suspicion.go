package balancer

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// suspicion is the evidence that a target is a straggler. Times are monotonic.
type suspicion struct {
	// evidence grows with each slow or failed request and falls by one point
	// with each normal answer. Requests in progress that are overdue add to it.
	evidence float64
	active   bool
	since    time.Duration
	// normal is the number of normal answers in a row.
	normal int
	// probed, interval and picks pace the probes: the time of the last one or of
	// the suspicion, the least time to the next one, and the picks at probed.
	probed, interval time.Duration
	picks            uint64
}

const (
	// normalWeight is the evidence that one normal answer takes back. With one
	// point, a target is suspected in the end if more than half of its answers
	// are slow, or a third very slow.
	normalWeight = 1.0
	// verySlow is the ratio to the slow latency from which a request counts
	// twice. It separates a straggler at ten times the usual latency from noise
	// at twice, for which single slow answers are common.
	verySlow = 2
	// evidenceCap bounds the evidence as a multiple of the threshold, so that a
	// long slow phase does not outlast the first normal answers.
	evidenceCap = 1.5
)

// Suspect is a target that is avoided, or would be with ejection on.
type Suspect struct {
	ID table.MemberID
	// For is the time since the target was suspected.
	For time.Duration
	// Evidence is the weight of its slow, overdue and failed requests.
	Evidence float64
	// Overdue is the number of its requests in progress that are late.
	Overdue int
	// Applied is false while ejection is switched off: the target is listed for
	// the operator and gets requests as before.
	Applied bool
}

// Counters count since the start of a Balancer.
type Counters struct {
	// Suspected and Reinstated count the begins and ends of suspicions.
	Suspected, Reinstated uint64
	// Probes counts the requests that went to suspects to test them.
	Probes uint64
}

func (s *suspicion) bad(weight, threshold float64) {
	s.evidence = min(s.evidence+weight, threshold*evidenceCap)
	s.normal = 0
}

func (s *suspicion) good() {
	s.evidence = max(s.evidence-normalWeight, 0)
	s.normal++
}

func (s *suspicion) start(now clock.Reading, picks uint64, interval time.Duration) {
	s.active, s.since, s.normal = true, now.Mono, 0
	s.interval, s.probed, s.picks = interval, now.Mono, picks
}

// end returns the target to service. Most of the evidence stays, so that a
// target that is still slow is suspected again after one slow answer.
func (s *suspicion) end(threshold float64) {
	s.active = false
	s.evidence = max(threshold-1, 0)
}
