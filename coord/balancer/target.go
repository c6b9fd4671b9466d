package balancer

import (
	"math"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
)

// state is what this process knows of one target. Times are monotonic.
type state struct {
	Target
	// starts holds the starts of the requests in progress, oldest first.
	starts []time.Duration
	// others is the number of other processes' requests at the last report.
	others   int
	reported time.Duration
	// limit and queued are the gate's state at the last report, or zero before one.
	limit, queued int
	// refusals is the number of recent refusals, which decays from refusedAt on.
	refusals  float64
	refusedAt time.Duration
	suspect   suspicion
}

// finish removes the request in progress whose start is nearest to the one
// that the latency gives. Results carry no identity, and the two may differ by
// the time between the caller's readings of the clock.
func (s *state) finish(now clock.Reading, latency time.Duration) {
	start := now.Mono - latency
	at, _ := slices.BinarySearch(s.starts, start)
	if at == len(s.starts) || (at > 0 && start-s.starts[at-1] < s.starts[at]-start) {
		at--
	}
	if at >= 0 {
		s.starts = slices.Delete(s.starts, at, at+1)
	}
}

// report takes a gate's state into account.
func (s *state) report(now clock.Reading, load *GateLoad) {
	s.others = max(load.Running+load.Queued-len(s.starts), 0)
	s.reported = now.Mono
	s.limit, s.queued = load.Limit, load.Queued
}

// patience is the factor by which a latency may exceed the usual one: a request
// behind a long queue waits, which does not make the target a straggler. The
// gate of a slow target keeps its queue within the limit, so that only a longer
// queue counts.
func (s *state) patience() float64 {
	limit := max(s.limit, 1)
	return 1 + float64(max(s.queued-limit, 0))/float64(limit)
}

// refused counts a refusal. A gate that refuses at once has few requests in
// progress and would otherwise look idle and attract every request.
func (s *state) refused(now clock.Reading, decay time.Duration) {
	s.refusals = s.recentRefusals(now, decay) + 1
	s.refusedAt = now.Mono
}

func (s *state) recentRefusals(now clock.Reading, decay time.Duration) float64 {
	if s.refusals == 0 {
		return 0
	}
	return s.refusals * math.Exp(-float64(now.Mono-s.refusedAt)/float64(decay))
}

// overdue returns the number of requests in progress for longer than late.
func (s *state) overdue(now clock.Reading, late time.Duration) int {
	if late <= 0 {
		return 0
	}
	n, _ := slices.BinarySearch(s.starts, now.Mono-late)
	return n
}

// queueWeight is the cost of a full limit of waiting requests relative to a
// full limit of running ones. Waiting delays a request; running beside others
// within the limit hardly does.
const queueWeight = 4

// cost compares the delay of one more request. Requests up to the gate's limit
// count by their share of all slots, so that a target in its ramp gets work up
// to its limit and the ramp goes on; further ones wait.
func (s *state) cost(now clock.Reading, c *Config) float64 {
	load := float64(len(s.starts) + 1)
	if age := now.Mono - s.reported; s.others > 0 && age < c.ReportAge {
		load += c.ReportWeight * float64(s.others) * (1 - float64(age)/float64(c.ReportAge))
	}
	slots := float64(max(s.Slots, 1))
	limit := slots
	if s.limit > 0 {
		limit = min(float64(s.limit), slots)
	}
	waiting := max(load-limit, 0) + s.recentRefusals(now, c.ReportAge)
	return load/slots + queueWeight*waiting/limit
}
