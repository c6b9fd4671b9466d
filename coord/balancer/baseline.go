package balancer

import (
	"math/rand/v2"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Baseline is a Selector with a simple policy, to compare Balancer with.
type Baseline struct {
	kind     BaselineKind
	random   *rand.Rand
	targets  []Target
	inFlight map[table.MemberID]int
	reported map[table.MemberID]GateLoad
	rotation int
}

// BaselineKind is the policy of a Baseline.
type BaselineKind uint8

const (
	// RoundRobin selects the targets in turn.
	RoundRobin BaselineKind = iota
	// LeastInFlight selects the target with the fewest requests of this process per
	// slot.
	LeastInFlight
	// LeastReported selects the target with the fewest requests per slot by the last
	// Report.
	LeastReported
	// TwoChoices selects, of two random targets, the one with fewer requests of this
	// process per slot.
	TwoChoices
	// TwoChoicesReported selects, of two random targets, the one with fewer requests
	// per slot by the last Report.
	TwoChoicesReported
)

// NewBaseline returns a Baseline without targets.
func NewBaseline(kind BaselineKind, random *rand.Rand) *Baseline {
	return &Baseline{kind: kind, random: random,
		inFlight: map[table.MemberID]int{}, reported: map[table.MemberID]GateLoad{}}
}

// SetTargets implements Selector.
func (b *Baseline) SetTargets(_ clock.Reading, targets []Target) {
	b.targets = slices.Clone(targets)
}

// Report sets the load that a target reported, which may be late or wrong.
func (b *Baseline) Report(id table.MemberID, load GateLoad) { b.reported[id] = load }

// Started implements Selector.
func (b *Baseline) Started(_ clock.Reading, id table.MemberID) { b.inFlight[id]++ }

// Finished implements Selector. It ignores the result; loads come from Report.
func (b *Baseline) Finished(_ clock.Reading, id table.MemberID, _ Result) { b.inFlight[id]-- }

// Pick implements Selector.
func (b *Baseline) Pick(_ clock.Reading, exclude ...table.MemberID) (table.MemberID, bool) {
	eligible := make([]*Target, 0, len(b.targets))
	for i := range b.targets {
		if t := &b.targets[i]; !t.Draining && !slices.Contains(exclude, t.ID) {
			eligible = append(eligible, t)
		}
	}
	if len(eligible) == 0 {
		return "", false
	}
	b.rotation++
	switch b.kind {
	case RoundRobin:
		return eligible[b.rotation%len(eligible)].ID, true
	case TwoChoices, TwoChoicesReported:
		b.random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
		eligible = eligible[:min(2, len(eligible))]
	}
	// Starting at a different target each time distributes requests over targets of
	// equal load.
	least := eligible[b.rotation%len(eligible)]
	for _, t := range eligible {
		if b.load(t) < b.load(least) {
			least = t
		}
	}
	return least.ID, true
}

// load returns the requests per slot of a target, as its policy counts them.
func (b *Baseline) load(t *Target) float64 {
	requests := b.inFlight[t.ID]
	if b.kind == LeastReported || b.kind == TwoChoicesReported {
		requests = b.reported[t.ID].Running + b.reported[t.ID].Queued
	}
	return float64(requests) / float64(max(t.Slots, 1))
}
