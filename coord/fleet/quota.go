package fleet

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quota"
	"bramleyquay.example/coord/routes"
)

// quotaLeader divides the limits of accounts in one term. It starts with the first
// renewal or tick of the term, because it needs the applied state.
type quotaLeader struct {
	allocator *quota.Allocator // nil before the start
	// document and registry are the revisions of the state that the allocator has.
	document, registry uint64
	// proposedAt and proposedFrom are the time of the last proposal and the revision of
	// the registry that it was made from.
	proposedAt   clock.Reading
	proposedFrom uint64
}

// quotaProposalTimeout is the time after which a registration that was not applied is
// proposed again. It is long enough for a commit on slow disks.
const quotaProposalTimeout = 500 * time.Millisecond

// QuotaLimits returns the limits of a document's accounts, by name. The document may be
// nil.
func QuotaLimits(d *routes.Document) map[string]quota.Limit {
	if d == nil {
		return nil
	}
	limits := map[string]quota.Limit{}
	for _, a := range d.Accounts {
		if a.Rate > 0 {
			limits[a.Name] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return limits
}

// updateQuota gives the allocator what has changed in the state.
func (l *Leader) updateQuota(now clock.Reading, st *State) *quota.Allocator {
	q := &l.quota
	first := q.allocator == nil
	if first {
		q.allocator = quota.NewAllocator(l.cfg.Quota)
		q.allocator.Start(now.Mono, l.term, st.QuotaRegistered())
		q.registry = st.stored.Quota.Revision
	}
	if first || q.document != st.stored.DocumentIndex {
		q.document = st.stored.DocumentIndex
		q.allocator.SetLimits(now.Mono, QuotaLimits(st.stored.Document))
	}
	if q.registry != st.stored.Quota.Revision {
		q.registry = st.stored.Quota.Revision
		q.allocator.SetRegistered(st.QuotaRegistered())
	}
	return q.allocator
}

// renewQuota answers the part of a renewal that concerns limits. It returns nil if there
// are no limits, or if the report is old.
func (l *Leader) renewQuota(now clock.Reading, st *State, r Renewal) *quota.Reply {
	allocator := l.updateQuota(now, st)
	if r.Quota == nil || !allocator.HasLimits() {
		return nil
	}
	return allocator.Renew(now.Mono, r.Member.Process, *r.Quota)
}

// quotaCommands returns the registrations and removals to propose.
func (l *Leader) quotaCommands(now clock.Reading, st *State) []Command {
	allocator := l.updateQuota(now, st)
	q := &l.quota
	if q.proposedFrom == q.registry && !q.proposedAt.IsZero() && now.MonoSince(q.proposedAt) < quotaProposalTimeout {
		return nil
	}
	c := RegisterQuota{Add: allocator.Unregistered(), Remove: allocator.Silent(now.Mono)}
	if len(c.Add)+len(c.Remove) == 0 {
		return nil
	}
	q.proposedAt, q.proposedFrom = now, q.registry
	return []Command{{RegisterQuota: &c}}
}

// QuotaStatus returns the division of the limits of accounts, sorted by name. It is empty
// on a follower.
func (l *Leader) QuotaStatus(now clock.Reading) []quota.LimitStatus {
	if l.quota.allocator == nil {
		return nil
	}
	return l.quota.allocator.Status(now.Mono)
}
