package fleetagent

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
)

// issuer grants key ranges to the target and tracks their release: a grant.Issuer or
// a grant.Requester. The agent's mutex guards it.
type issuer interface {
	Holder() ranges.Holder
	HasKeyspace() bool
	SetRanges(keyspace []ranges.Range)
	SetLease(sent clock.Reading, d time.Duration)
	ReleaseExpired(now clock.Reading) int
	GrantsExpired(now clock.Reading) bool
	GrantsEnd() time.Duration
	ReleasedRanges() []fleet.ReleasedRange
	MayServe(now clock.Reading, key uint16) bool
	IsAssigned(key uint16) bool
}

// newIssuer returns the issuer for a new incarnation of the target. The caller holds
// mu.
func (a *Agent) newIssuer(h ranges.Holder) issuer {
	earlier := a.issuer
	if earlier == nil {
		earlier = a.ended.issuer
	}
	earlierEnd := a.started + a.cfg.Lease
	if earlier != nil && earlier.Holder() == h {
		earlierEnd = max(earlierEnd, earlier.GrantsEnd())
	}
	if a.cfg.Request == nil {
		return grant.New(a.cfg.Grant, h, earlierEnd)
	}
	next := grant.NewRequester(a.cfg.Request.Grant, h, earlierEnd)
	if earlier, ok := earlier.(*grant.Requester); ok {
		next.Succeed(earlier)
	}
	return next
}

// answerAnnouncement returns the grant with which an announcement is answered, none
// if ranges are granted by calls. The caller holds mu.
func (a *Agent) answerAnnouncement(now clock.Reading, report grant.RangeReport) grant.Grant {
	if answering, ok := a.issuer.(*grant.Issuer); ok {
		return answering.HandleReport(now, report)
	}
	a.sendCalls()
	return grant.Grant{}
}

// callGrantWait is the usual time until a new range is granted by a call.
const callGrantWait = 50 * time.Millisecond

// nextGrant returns the expected time of the target's next grant. The caller holds
// mu.
func (a *Agent) nextGrant(now time.Duration) time.Duration {
	if a.cfg.Request != nil {
		return now + callGrantWait
	}
	return a.target.lastAnnouncement + a.cfg.AnnounceInterval
}
