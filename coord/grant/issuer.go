// Package grant issues grants in the sidecar process of a target. A grant is the
// right to serve key ranges for a limited time and never outlasts the lease that the
// sidecar has from the control group. An Issuer sends grants in the answers to the
// target's announcements, a Requester by calls to the target. The package belongs to
// the fleet mode.
package grant

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// Grant is the answer to an announcement. It replaces the earlier grant, except that
// a zero Grant leaves it in force until it expires.
type Grant struct {
	Ranges []ranges.Range
	// Duration counts from the sending of the announcement. Zero means no new grant.
	Duration time.Duration
	// Deferred is the number of assigned ranges left out for lack of space; a later
	// grant has them.
	Deferred int
}

// Issuer issues the grants of one target and tracks the release of its ranges. Its
// times are on the monotonic clock of the readings. It is not safe for concurrent
// use.
//
// Invariant: a range counts as released only by a report that was certainly sent after
// the target got the last grant of the range, or once every such grant has certainly
// expired. Reports may arrive late, and their order shows nothing about grants that an
// earlier incarnation of this process has issued. While those may be in force, a report
// proves the release only of a range that it names with its fence: a fence is not
// granted again after its release.
type Issuer struct {
	assignment
	cfg Config
	// granted are the ranges of the last grant, which ends at grantEnd by this
	// process's clock.
	granted  []ranges.Range
	grantEnd time.Duration
	// earlierEnd is the time at which the grants of earlier incarnations of this
	// process have certainly expired.
	earlierEnd time.Duration
	// issued are the times at which the grants of this issuer have certainly expired, by
	// range, even by a slow clock of the target.
	issued map[rangeID]time.Duration
	// listed are the assigned ranges that a report has listed as held at their fence,
	// and that were not granted anew since.
	listed map[rangeID]bool
	// unlisted counts the successive reports without a range.
	unlisted map[rangeID]int
}

// New returns the issuer for a holder that announces itself now. Grants that an earlier
// incarnation of this process has issued to the holder may be in force until
// earlierEnd.
func New(cfg Config, h ranges.Holder, earlierEnd time.Duration) *Issuer {
	return &Issuer{
		assignment: newAssignment(h), cfg: cfg, earlierEnd: earlierEnd,
		issued: map[rangeID]time.Duration{}, listed: map[rangeID]bool{}, unlisted: map[rangeID]int{},
	}
}

// SetRanges replaces the key space of the target's service, which the caller must
// not change afterwards. What reports have shown of ranges that are no longer assigned
// to the holder is forgotten, but not their grants. The parts of a range that was split
// are listed if the range was.
func (iss *Issuer) SetRanges(keyspace []ranges.Range) {
	releasing := iss.setRanges(keyspace)
	for id := range iss.unlisted {
		if !releasing[id] {
			delete(iss.unlisted, id)
		}
	}
	listed := map[rangeID]bool{}
	for _, r := range keyspace {
		if r.Holder != iss.holder {
			continue
		}
		for id := range iss.listed {
			if id.fence == r.Fence && id.from <= r.From && r.To <= id.to {
				listed[rangeIDOf(r)] = true
				break
			}
		}
	}
	iss.listed = listed
}

// HandleReport records the ranges that the target reports as held or released, and
// returns its next grant, which is zero if less than MinGrant of the lease is left.
// Reports must be handled in the order in which they were sent.
func (iss *Issuer) HandleReport(now clock.Reading, report RangeReport) Grant {
	iss.recordReleases(now, report)
	iss.recordHeld(report)
	remaining := iss.leaseEnd - now.Mono
	d := min(time.Duration(float64(remaining)*(1-iss.cfg.MaxClockDrift)), iss.cfg.MaxGrant)
	if d < iss.cfg.MinGrant {
		return Grant{}
	}
	g := Grant{Duration: d}
	g.Ranges, g.Deferred = iss.selectRanges(report)
	iss.granted, iss.grantEnd = g.Ranges, now.Mono+d
	iss.recordGrant(now, slices.Concat(g.Ranges, iss.stillHeld(report)), d)
	for _, r := range g.Ranges {
		if !report.holds(r) {
			delete(iss.listed, rangeIDOf(r)) // later reports may have been sent before this grant arrives
		}
	}
	return g
}

// recordHeld records which assigned ranges the target lists at their fence.
func (iss *Issuer) recordHeld(report RangeReport) {
	for _, r := range iss.keyspace {
		if r.Holder == iss.holder && report.holds(r) {
			iss.listed[rangeIDOf(r)] = true
		}
	}
}

// selectRanges returns the assigned ranges for the next grant, in order: all that
// the target holds, and as many of the others as fit into MaxBytes.
func (iss *Issuer) selectRanges(report RangeReport) (selected []ranges.Range, deferred int) {
	bytesLeft := iss.cfg.MaxBytes
	for _, r := range iss.keyspace {
		if r.Holder == iss.holder && !r.Releasing && report.holds(r) {
			bytesLeft -= iss.cfg.RangeBytes
		}
	}
	for _, r := range iss.keyspace {
		if r.Holder != iss.holder || r.Releasing {
			continue
		}
		if report.holds(r) {
			// The target needs the token only until it holds the range.
			r.HandoverToken = ""
			selected = append(selected, r)
			continue
		}
		tokenBytes := jsonBytes(r.HandoverToken)
		if tokenBytes > iss.cfg.MaxBytes/maxTokenShare {
			r.HandoverToken, tokenBytes = "", 0 // the range is warmed up again
		}
		size := iss.cfg.RangeBytes + tokenBytes
		if size > bytesLeft {
			deferred++
			continue
		}
		bytesLeft -= size
		selected = append(selected, r)
	}
	return selected, deferred
}

// MayServe reports whether the target may start a request on a key now: the last
// grant includes the key and has not expired, and neither has the lease. A key
// whose release is requested is served until a grant leaves it out.
func (iss *Issuer) MayServe(now clock.Reading, key uint16) bool {
	if now.Mono >= iss.grantEnd || now.Mono >= iss.leaseEnd {
		return false
	}
	g, ok := ranges.Find(iss.granted, key)
	if !ok {
		return false
	}
	r, ok := ranges.Find(iss.keyspace, key)
	return ok && r.Holder == iss.holder && r.Fence == g.Fence
}
