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
	// MaxBytes bounds the encoded ranges in the answer to an announcement. A range
	// takes RangeBytes and the length of its handover token. Ranges that the target
	// already holds are always included; others that exceed the bound are deferred
	// to a later answer.
	MaxBytes, RangeBytes int
}

// DefaultConfig returns the default configuration, for targets whose clocks run at
// most 2% slow and that accept answers of 4 KiB including the header. Package
// platform encodes a range as [from,to,fence,"token"] and a comma, which takes at
// most 26 bytes without the token while fences are below a hundred million.
func DefaultConfig(maxGrant time.Duration) Config {
	return Config{MaxGrant: maxGrant, MaxClockDrift: 0.02, MinGrant: 100 * time.Millisecond, MaxBytes: 3800, RangeBytes: 26}
}

// RangeReport lists the ranges of a target as it reports them in an announcement.
// Targets need not report the fences of Released, which are ignored.
type RangeReport struct {
	// Held are the ranges that the target holds or still serves requests for.
	Held []ranges.Range
	// Released are the ranges that it has released, with their handover tokens.
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
type Issuer struct {
	assignment
	cfg     Config
	granted []ranges.Range // ranges of the last grant
	// grantEnd is the end of the last grant by this process's clock.
	grantEnd time.Duration
	// allGrantsEnd is the time at which every grant has certainly expired, even by
	// a slow clock of the target.
	allGrantsEnd time.Duration
	// unlisted counts the successive reports without a range.
	unlisted map[rangeID]int
}

// maxUnlistedReports is the number of successive reports that do not list a range
// after which the range counts as released without a token. The first of them may
// have been sent before the answer whose grant left the range out, which is how a
// target is asked to release it.
const maxUnlistedReports = 2

// New returns the issuer for a holder that announces itself now. An earlier
// incarnation of this process may just have granted ranges to it, so its grants
// count as unexpired for the longest duration of a grant.
func New(cfg Config, h ranges.Holder, now clock.Reading) *Issuer {
	iss := &Issuer{assignment: newAssignment(h), cfg: cfg, unlisted: map[rangeID]int{}}
	iss.recordGrant(now, cfg.MaxGrant)
	return iss
}

// recordGrant records that a grant of duration d was issued. The target's clock
// may run slow.
func (iss *Issuer) recordGrant(now clock.Reading, d time.Duration) {
	iss.allGrantsEnd = max(iss.allGrantsEnd, now.Mono+time.Duration(float64(d)*(1+iss.cfg.MaxClockDrift)))
}

// GrantsExpired reports whether every grant has certainly expired. The ranges of a
// target that has ended, or can't reach this process, are released only then,
// because it can't report their release.
func (iss *Issuer) GrantsExpired(now clock.Reading) bool { return now.Mono >= iss.allGrantsEnd }

// ReleaseExpired releases the ranges whose release is requested, without a
// handover token, if every grant has expired. It returns the number of ranges
// that were not released before.
func (iss *Issuer) ReleaseExpired(now clock.Reading) int {
	if !iss.GrantsExpired(now) {
		return 0
	}
	n := 0
	for _, r := range iss.keyspace {
		if _, done := iss.released[rangeIDOf(r)]; done || r.Holder != iss.holder || !r.Releasing {
			continue
		}
		iss.released[rangeIDOf(r)] = fleet.ReleasedRange{Range: r}
		n++
	}
	return n
}

// SetRanges replaces the key space of the target's service, which the caller must
// not change afterwards. Releases of ranges that are no longer being released are
// forgotten.
func (iss *Issuer) SetRanges(keyspace []ranges.Range) {
	releasing := iss.setRanges(keyspace)
	for id := range iss.unlisted {
		if !releasing[id] {
			delete(iss.unlisted, id)
		}
	}
}

// HandleReport records the ranges that the target reports as held or released, and
// returns its next grant, which is zero if less than MinGrant of the lease is left.
// Announcements must be handled in the order in which they were sent.
func (iss *Issuer) HandleReport(now clock.Reading, report RangeReport) Grant {
	iss.recordReleases(report)
	remaining := iss.leaseEnd - now.Mono
	d := min(time.Duration(float64(remaining)*(1-iss.cfg.MaxClockDrift)), iss.cfg.MaxGrant)
	if d < iss.cfg.MinGrant {
		return Grant{}
	}
	g := Grant{Duration: d}
	g.Ranges, g.Deferred = iss.selectRanges(report)
	iss.granted, iss.grantEnd = g.Ranges, now.Mono+d
	iss.recordGrant(now, d)
	return g
}

// selectRanges returns the assigned ranges for the next grant, in order: all that
// the target holds, and as many of the others as fit into MaxBytes.
func (iss *Issuer) selectRanges(report RangeReport) (selected []ranges.Range, deferred int) {
	held := func(r ranges.Range) bool {
		return slices.ContainsFunc(report.Held, func(h ranges.Range) bool { return h.Fence == r.Fence && h.From <= r.From && r.To <= h.To })
	}
	bytesLeft := iss.cfg.MaxBytes
	for _, r := range iss.keyspace {
		if r.Holder == iss.holder && !r.Releasing && held(r) {
			bytesLeft -= iss.cfg.RangeBytes
		}
	}
	for _, r := range iss.keyspace {
		if r.Holder != iss.holder || r.Releasing {
			continue
		}
		if held(r) {
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

// recordReleases records which of the requested releases the target has completed,
// by its report.
func (iss *Issuer) recordReleases(report RangeReport) {
	for _, r := range iss.keyspace {
		if r.Holder != iss.holder || !r.Releasing {
			continue
		}
		id := rangeIDOf(r)
		if _, done := iss.released[id]; done {
			continue
		}
		if slices.ContainsFunc(report.Held, func(h ranges.Range) bool { return h.From <= r.To && r.From <= h.To }) {
			iss.unlisted[id] = 0
			continue
		}
		i := slices.IndexFunc(report.Released, func(g ranges.Range) bool { return g.From <= r.From && r.To <= g.To })
		if i >= 0 {
			iss.released[id] = fleet.ReleasedRange{Range: r, HandoverToken: report.Released[i].HandoverToken}
			continue
		}
		if iss.unlisted[id]++; iss.unlisted[id] >= maxUnlistedReports {
			iss.released[id] = fleet.ReleasedRange{Range: r}
		}
	}
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
