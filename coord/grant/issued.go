package grant

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// issuedGrant is the last grant of a range. end is the time at which it has certainly
// expired, even by a slow clock of the target.
type issuedGrant struct {
	id  rangeID
	end time.Duration
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
