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
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
)

// Config configures an Issuer.
type Config struct {
	// MaxGrant is the longest duration of a grant.
	MaxGrant time.Duration
	// MaxClockDrift is the fraction by which the target's clock may run slow.
	// Grants are shorter than the lease by this fraction.
	MaxClockDrift float64
	// MinGrant is the shortest grant to issue. If less of the lease is left, the
	// answer has no grant.
	MinGrant time.Duration
	// MaxUnlistedReports is the number of successive reports that do not list a range
	// after which the range counts as released without a token. All but the last may
	// have been sent before the answer that granted it arrived. More reports are safe
	// for targets that announce themselves more often while they wait for an answer,
	// and make the release of a range that was never taken slower.
	MaxUnlistedReports int
	// MaxBytes bounds the encoded ranges in the answer to an announcement. A range
	// takes RangeBytes and the length of its handover token. Ranges that the target
	// already holds are always included; others that exceed the bound are deferred
	// to a later answer.
	MaxBytes, RangeBytes int
}

const (
	// answerTimeout is the time from the sending of an announcement after which a
	// target ignores the answer.
	answerTimeout = time.Second
	// minUnlistedReports is the least value of MaxUnlistedReports.
	minUnlistedReports = 2
)

// DefaultConfig returns the default configuration, for targets that announce
// themselves at the given interval, whose clocks run at most 2% slow and that accept
// answers of 4 KiB including the header. Package platform encodes a range as
// [from,to,fence,"token"] and a comma, which takes at most 26 bytes without the token
// while fences are below a hundred million.
func DefaultConfig(maxGrant, announceInterval time.Duration) Config {
	unlisted := minUnlistedReports
	if announceInterval > 0 {
		unlisted = max(unlisted, 1+int(answerTimeout/announceInterval))
	}
	return Config{
		MaxGrant: maxGrant, MaxClockDrift: 0.02, MinGrant: 100 * time.Millisecond, MaxUnlistedReports: unlisted,
		MaxBytes: 3800, RangeBytes: 26,
	}
}

// RangeReport lists the ranges of a target as it reports them in an announcement.
type RangeReport struct {
	// Held are the ranges that the target holds or still serves requests for.
	Held []ranges.Range
	// Released are the ranges that it has released, with their handover tokens. Fence
	// is zero if the target does not report the fences of released ranges.
	Released []ranges.Range
}

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
	// issued are the ranges of this issuer's grants that may be in force.
	issued []issuedGrant
	// listed are the assigned ranges that a report has listed as held at their fence,
	// and that were not granted anew since.
	listed map[rangeID]bool
	// unlisted counts the successive reports without a range.
	unlisted map[rangeID]int
}

// issuedGrant is the last grant of a range. end is the time at which it has certainly
// expired, even by a slow clock of the target.
type issuedGrant struct {
	id  rangeID
	end time.Duration
}

// New returns the issuer for a holder that announces itself now. Grants that an earlier
// incarnation of this process has issued to the holder may be in force until
// earlierEnd.
func New(cfg Config, h ranges.Holder, earlierEnd time.Duration) *Issuer {
	return &Issuer{
		assignment: newAssignment(h), cfg: cfg, earlierEnd: earlierEnd, listed: map[rangeID]bool{}, unlisted: map[rangeID]int{},
	}
}

// recordGrant records that a grant of the ranges was issued for a duration. The
// target's clock may run slow.
func (iss *Issuer) recordGrant(now clock.Reading, granted []ranges.Range, d time.Duration) {
	ids := make(map[rangeID]bool, len(granted))
	for _, r := range granted {
		ids[rangeIDOf(r)] = true
	}
	iss.issued = slices.DeleteFunc(iss.issued, func(g issuedGrant) bool { return ids[g.id] || now.Mono >= g.end })
	end := now.Mono + time.Duration(float64(d)*(1+iss.cfg.MaxClockDrift))
	for id := range ids {
		iss.issued = append(iss.issued, issuedGrant{id: id, end: end})
	}
}

// GrantsEnd returns the time at which every grant has certainly expired.
func (iss *Issuer) GrantsEnd() time.Duration {
	end := iss.earlierEnd
	for _, g := range iss.issued {
		end = max(end, g.end)
	}
	return end
}

// GrantsExpired reports whether every grant has certainly expired.
func (iss *Issuer) GrantsExpired(now clock.Reading) bool { return now.Mono >= iss.GrantsEnd() }

// grantExpired reports whether every grant of a key of the range has certainly
// expired.
func (iss *Issuer) grantExpired(now clock.Reading, r ranges.Range) bool {
	return now.Mono >= iss.earlierEnd && !slices.ContainsFunc(iss.issued, func(g issuedGrant) bool {
		return g.id.from <= r.To && r.From <= g.id.to && now.Mono < g.end
	})
}

// ReleaseExpired releases the ranges whose release is requested and whose grants have
// certainly expired, without a handover token: a target that has ended, that can't
// reach this process or that never got the grant can't report their release. It
// returns the number of ranges that were not released before.
func (iss *Issuer) ReleaseExpired(now clock.Reading) int {
	n := 0
	for _, r := range iss.keyspace {
		if iss.releasePending(r) && iss.grantExpired(now, r) {
			iss.released[rangeIDOf(r)] = fleet.ReleasedRange{Range: r}
			n++
		}
	}
	return n
}

// releasePending reports whether the target has to release a range and has not yet.
func (iss *Issuer) releasePending(r ranges.Range) bool {
	_, done := iss.released[rangeIDOf(r)]
	return r.Holder == iss.holder && r.Releasing && !done
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

// holds reports whether the target lists a whole range as held at its fence.
func (report RangeReport) holds(r ranges.Range) bool {
	return slices.ContainsFunc(report.Held, func(h ranges.Range) bool { return h.Fence == r.Fence && h.From <= r.From && r.To <= h.To })
}

// stillHeld returns the ranges that the target has to release and lists as held. It may
// finish its requests on them for as long as the next grant lasts.
func (iss *Issuer) stillHeld(report RangeReport) []ranges.Range {
	var out []ranges.Range
	for _, r := range iss.keyspace {
		if iss.releasePending(r) && report.overlapsHeld(r) {
			out = append(out, r)
		}
	}
	return out
}

// overlapsHeld reports whether the target lists a key of the range as held, at any fence.
func (report RangeReport) overlapsHeld(r ranges.Range) bool {
	return slices.ContainsFunc(report.Held, func(h ranges.Range) bool { return h.From <= r.To && r.From <= h.To })
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
		} else if size := iss.cfg.RangeBytes + len(r.HandoverToken); size <= bytesLeft {
			bytesLeft -= size
		} else {
			deferred++
			continue
		}
		selected = append(selected, r)
	}
	return selected, deferred
}

// recordReleases records which of the requested releases the target has completed, as
// far as its report proves it.
func (iss *Issuer) recordReleases(now clock.Reading, report RangeReport) {
	for _, r := range iss.keyspace {
		if !iss.releasePending(r) {
			continue
		}
		id := rangeIDOf(r)
		if report.overlapsHeld(r) {
			iss.unlisted[id] = 0
			continue
		}
		release, named := report.releaseOf(r)
		proven := named && release.Fence == r.Fence
		if !proven {
			if now.Mono < iss.earlierEnd {
				continue
			}
			// A release that names no fence may be an earlier one of the same keys,
			// unless a report has shown that the target had got the last grant.
			iss.unlisted[id]++
			proven = named && iss.listed[id] || iss.unlisted[id] >= iss.cfg.MaxUnlistedReports
		}
		if proven {
			iss.released[id] = fleet.ReleasedRange{Range: r, HandoverToken: release.HandoverToken}
		}
	}
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
