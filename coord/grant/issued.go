package grant

import (
	"maps"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// recordGrant records that a grant of the ranges was issued for a duration. The
// target's clock may run slow.
func (iss *Issuer) recordGrant(now clock.Reading, granted []ranges.Range, d time.Duration) {
	maps.DeleteFunc(iss.issued, func(_ rangeID, end time.Duration) bool { return now.Mono >= end })
	end := now.Mono + time.Duration(float64(d)*(1+iss.cfg.MaxClockDrift))
	for _, r := range granted {
		iss.issued[rangeIDOf(r)] = max(iss.issued[rangeIDOf(r)], end)
	}
}

// GrantsEnd returns the time at which every grant has certainly expired.
func (iss *Issuer) GrantsEnd() time.Duration {
	last := iss.earlierEnd
	for _, end := range iss.issued {
		last = max(last, end)
	}
	return last
}

// GrantsExpired reports whether every grant has certainly expired.
func (iss *Issuer) GrantsExpired(now clock.Reading) bool { return now.Mono >= iss.GrantsEnd() }

// grantExpired reports whether every grant of a key of the range has certainly
// expired.
func (iss *Issuer) grantExpired(now clock.Reading, r ranges.Range) bool {
	for id, end := range iss.issued {
		if id.from <= r.To && r.From <= id.to && now.Mono < end {
			return false
		}
	}
	return now.Mono >= iss.earlierEnd
}
