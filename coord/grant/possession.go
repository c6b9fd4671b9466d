package grant

import (
	"slices"
	"time"

	"bramleyquay.example/coord/ranges"
)

// sentGrant is a grant call that the target may have applied or may still apply.
type sentGrant struct {
	call uint64
	from uint16
	to   uint16
	// end is the time at which the grant has certainly expired, whenever the call
	// arrived, by a slow clock of the target.
	end time.Duration
	// answered is set if the target has applied the grant. A release ends an
	// answered grant; a grant without an answer may be applied after the release.
	answered bool
}

// sentGrants are the grants that the target may hold. The zero value has none.
type sentGrants []sentGrant

func (s sentGrant) overlaps(r ranges.Range) bool { return s.from <= r.To && r.From <= s.to }

// expire removes the grants that have certainly expired.
func (s *sentGrants) expire(now time.Duration) {
	*s = slices.DeleteFunc(*s, func(g sentGrant) bool { return now >= g.end })
}

// add records a grant.
func (s *sentGrants) add(g sentGrant) { *s = append(*s, g) }

// find returns the grant of a call, or nil.
func (s sentGrants) find(call uint64) *sentGrant {
	for i := range s {
		if s[i].call == call {
			return &s[i]
		}
	}
	return nil
}

// remove removes the grant of a call, which has no effect.
func (s *sentGrants) remove(call uint64) {
	*s = slices.DeleteFunc(*s, func(g sentGrant) bool { return g.call == call })
}

// removeReleased removes the answered grants that the target has released: those
// inside the range entirely. The others may still hold other keys.
func (s *sentGrants) removeReleased(r ranges.Range) {
	*s = slices.DeleteFunc(*s, func(g sentGrant) bool { return g.answered && r.From <= g.from && g.to <= r.To })
}

// mayHold reports whether the target may hold a key of the range, now or later.
func (s sentGrants) mayHold(r ranges.Range) bool {
	return slices.ContainsFunc(s, func(g sentGrant) bool { return g.overlaps(r) })
}

// mayApply reports whether the target may still apply a grant of a key of the range.
func (s sentGrants) mayApply(r ranges.Range) bool {
	return slices.ContainsFunc(s, func(g sentGrant) bool { return !g.answered && g.overlaps(r) })
}

// unanswered returns the grants that the target may still apply.
func (s sentGrants) unanswered() sentGrants {
	var out sentGrants
	for _, g := range s {
		if !g.answered {
			out = append(out, g)
		}
	}
	return out
}
