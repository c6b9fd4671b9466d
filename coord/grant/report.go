package grant

import (
	"slices"

	"bramleyquay.example/coord/ranges"
)

// RangeReport lists the ranges of a target as it reports them in an announcement.
type RangeReport struct {
	// Held are the ranges that the target holds or still serves requests for.
	Held []ranges.Range
	// Released are the ranges that it has released, with their handover tokens. Fence
	// is zero if the target does not report the fences of released ranges.
	Released []ranges.Range
}

// holds reports whether the target lists a whole range as held at its fence.
func (report RangeReport) holds(r ranges.Range) bool {
	return slices.ContainsFunc(report.Held, func(h ranges.Range) bool { return h.Fence == r.Fence && h.From <= r.From && r.To <= h.To })
}

// overlapsHeld reports whether the target lists a key of the range as held, at any fence.
func (report RangeReport) overlapsHeld(r ranges.Range) bool {
	return slices.ContainsFunc(report.Held, func(h ranges.Range) bool { return h.From <= r.To && r.From <= h.To })
}

// releaseOf returns the report of the release of a range, at its fence or without a
// fence, and false if there is none. The last one counts.
func (report RangeReport) releaseOf(r ranges.Range) (ranges.Range, bool) {
	for _, g := range slices.Backward(report.Released) {
		if g.From <= r.From && r.To <= g.To && (g.Fence == 0 || g.Fence == r.Fence) {
			return g, true
		}
	}
	return ranges.Range{}, false
}
