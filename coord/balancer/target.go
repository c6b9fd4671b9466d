package balancer

import (
	"math"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quality"
)

// targetState is the balancer's state of one target. Times are monotonic.
type targetState struct {
	Target
	// starts are the start times of the requests in progress, oldest first.
	starts []time.Duration
	// otherRequests is the number of other processes' requests at the last report.
	otherRequests int
	reportedAt    time.Duration // time of the last report
	// limit and queued are from the gate's last report, zero before the first.
	limit, queued int
	// refusals is the number of recent refusals, which decays from refusedAt on.
	refusals  float64
	refusedAt time.Duration // time of the last refusal
	suspect   suspicion
	// weight is the last known weight in eighths, from the directory or from the gate.
	weight int
}

// removeStart removes the request in progress that ended with the given latency.
// Results do not identify the request, so it removes the start nearest to now
// minus the latency. The two differ slightly, because the caller reads the clock
// several times.
func (s *targetState) removeStart(now clock.Reading, latency time.Duration) {
	start := now.Mono - latency
	index, _ := slices.BinarySearch(s.starts, start)
	if index == len(s.starts) || (index > 0 && start-s.starts[index-1] < s.starts[index]-start) {
		index--
	}
	if index >= 0 {
		s.starts = slices.Delete(s.starts, index, index+1)
	}
}

// recordReport records the load that a gate reports.
func (s *targetState) recordReport(now clock.Reading, load *GateLoad) {
	s.otherRequests = max(load.Running+load.Queued-len(s.starts), 0)
	s.reportedAt = now.Mono
	s.limit, s.queued = load.Limit, load.Queued
	s.weight = quality.Normalize(load.Weight)
}

// queueFactor returns the factor by which the queue at the gate raises the slow
// latency: a request behind a long queue waits, which does not make the target a
// straggler. The gate of a slow target keeps its queue within the limit, so only the
// part of the queue above the limit counts.
func (s *targetState) queueFactor() float64 {
	limit := max(s.limit, 1)
	return 1 + float64(max(s.queued-limit, 0))/float64(limit)
}

// recordRefusal counts a refusal, which raises the cost of the target for a while.
// A gate that refuses at once has few requests in progress and would otherwise look
// idle and attract every request.
func (s *targetState) recordRefusal(now clock.Reading, decay time.Duration) {
	s.refusals = s.recentRefusals(now, decay) + 1
	s.refusedAt = now.Mono
}

// recentRefusals returns the number of refusals, which decays exponentially.
func (s *targetState) recentRefusals(now clock.Reading, decay time.Duration) float64 {
	if s.refusals == 0 {
		return 0
	}
	return s.refusals * math.Exp(-float64(now.Mono-s.refusedAt)/float64(decay))
}

// overdue returns the number of requests in progress for longer than slowLatency,
// zero if slowLatency is unknown.
func (s *targetState) overdue(now clock.Reading, slowLatency time.Duration) int {
	if slowLatency <= 0 {
		return 0
	}
	n, _ := slices.BinarySearch(s.starts, now.Mono-slowLatency)
	return n
}

// queueWeight is the cost of as many waiting requests as the limit, relative to as
// many running ones. Waiting delays a request; running concurrently with others
// within the limit hardly does.
const queueWeight = 4

// cost returns a relative measure of the delay of one more request. Requests up to
// the gate's limit count as a fraction of all slots, so that a target in its ramp
// gets requests up to its limit, without which the ramp would not continue.
// Requests above the limit and recent refusals count as waiting. The cost is 1 if the
// new request takes the last slot, the limit is not below the slots, and there are
// no recent refusals.
func (s *targetState) cost(now clock.Reading, c *Config) float64 {
	load := float64(len(s.starts) + 1)
	if age := now.Mono - s.reportedAt; s.otherRequests > 0 && age < c.ReportAge {
		load += c.ReportWeight * float64(s.otherRequests) * (1 - float64(age)/float64(c.ReportAge))
	}
	slots := float64(max(s.Slots, 1))
	limit := slots
	if s.limit > 0 {
		limit = min(float64(s.limit), slots)
	}
	waiting := max(load-limit, 0) + s.recentRefusals(now, c.ReportAge)
	return load/slots + queueWeight*waiting/limit
}
