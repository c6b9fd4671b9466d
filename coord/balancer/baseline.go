package balancer

import (
	"math/rand/v2"
	"slices"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Baseline is a simple policy that Balancer is measured against.
type Baseline struct {
	kind     BaselineKind
	random   *rand.Rand
	targets  []Target
	inFlight map[table.MemberID]int
	reported map[table.MemberID]GateLoad
	next     int
}

// BaselineKind names a simple policy.
type BaselineKind uint8

const (
	// RoundRobin takes the targets in turn.
	RoundRobin BaselineKind = iota
	// LeastInFlight takes the target with the fewest own requests per slot.
	LeastInFlight
	// LeastReported takes the target with the least load by the targets' own reports.
	LeastReported
	// TwoChoices takes the one of two random targets with fewer own requests.
	TwoChoices
	// TwoChoicesReported takes the one of two random targets with less reported load.
	TwoChoicesReported
)

// NewBaseline returns a simple policy.
func NewBaseline(kind BaselineKind, random *rand.Rand) *Baseline {
	return &Baseline{kind: kind, random: random,
		inFlight: map[table.MemberID]int{}, reported: map[table.MemberID]GateLoad{}}
}

// SetTargets implements Selector.
func (b *Baseline) SetTargets(_ clock.Reading, targets []Target) {
	b.targets = slices.Clone(targets)
}

// Report gives a target's own load report, which may be late or false.
func (b *Baseline) Report(id table.MemberID, load GateLoad) { b.reported[id] = load }

// Started implements Selector.
func (b *Baseline) Started(_ clock.Reading, id table.MemberID) { b.inFlight[id]++ }

// Finished implements Selector.
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
	b.next++
	switch b.kind {
	case RoundRobin:
		return eligible[b.next%len(eligible)].ID, true
	case TwoChoices, TwoChoicesReported:
		b.random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
		eligible = eligible[:min(2, len(eligible))]
	}
	// Starting at a different target each time spreads equal loads.
	least := eligible[b.next%len(eligible)]
	for _, t := range eligible {
		if b.load(t) < b.load(least) {
			least = t
		}
	}
	return least.ID, true
}

func (b *Baseline) load(t *Target) float64 {
	requests := b.inFlight[t.ID]
	if b.kind == LeastReported || b.kind == TwoChoicesReported {
		requests = b.reported[t.ID].Running + b.reported[t.ID].Queued
	}
	return float64(requests) / float64(max(t.Slots, 1))
}
