package grant

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
)

// assignment is what the control group has assigned to one holder, and what the
// holder has released of it.
type assignment struct {
	holder   ranges.Holder
	keyspace []ranges.Range // the key space of the target's service
	leaseEnd time.Duration  // end of the lease from the control group
	// released are the ranges that are released and still assigned to the holder.
	released map[rangeID]fleet.ReleasedRange
}

func newAssignment(h ranges.Holder) assignment {
	return assignment{holder: h, released: map[rangeID]fleet.ReleasedRange{}}
}

// rangeID identifies a range at one fence.
type rangeID struct {
	from, to uint16
	fence    uint64
}

func rangeIDOf(r ranges.Range) rangeID { return rangeID{r.From, r.To, r.Fence} }

// Holder returns the holder that ranges are granted to.
func (a *assignment) Holder() ranges.Holder { return a.holder }

// HasKeyspace reports whether the target's service has a key space.
func (a *assignment) HasKeyspace() bool { return len(a.keyspace) > 0 }

// SetLease records a lease of duration d that was requested at sent. The ranges
// that came with it must be set before.
func (a *assignment) SetLease(sent clock.Reading, d time.Duration) {
	a.leaseEnd = max(a.leaseEnd, sent.Mono+d)
}

// setRanges replaces the key space and forgets the releases of ranges that are no
// longer being released. It returns the ranges whose release is requested.
func (a *assignment) setRanges(keyspace []ranges.Range) map[rangeID]bool {
	a.keyspace = keyspace
	releasing := map[rangeID]bool{}
	for _, r := range keyspace {
		if r.Holder == a.holder && r.Releasing {
			releasing[rangeIDOf(r)] = true
		}
	}
	for id := range a.released {
		if !releasing[id] {
			delete(a.released, id)
		}
	}
	return releasing
}

// ReleasedRanges returns the released ranges to report to the control group, in no
// particular order.
func (a *assignment) ReleasedRanges() []fleet.ReleasedRange {
	out := make([]fleet.ReleasedRange, 0, len(a.released))
	for _, r := range a.released {
		out = append(out, r)
	}
	return out
}

// IsAssigned reports whether a key is assigned to the target, granted or not, and
// its release is not requested.
func (a *assignment) IsAssigned(key uint16) bool {
	r, ok := ranges.Find(a.keyspace, key)
	return ok && r.Holder == a.holder && !r.Releasing
}
