package grant

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
)

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
