package lease

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Tracker is the control leader's side of all leases. Its state is not replicated:
// a new leader starts with Reset. It is not safe for concurrent use.
//
// Invariant: a member is reported as expired only after its holder's lease has
// ended, provided that clocks diverge by at most Config.MaxClockDrift. The tracker
// uses monotonic time only, so that a forward step of the wall clock does not shorten
// the wait.
type Tracker struct {
	cfg          Config
	started      clock.Reading
	lastRenewals map[table.MemberID]clock.Reading
}

// NewTracker returns a tracker without renewals. Call Reset before its first use.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, lastRenewals: map[table.MemberID]clock.Reading{}}
}

// Reset drops all renewals and treats every member as renewed at now. It is called
// at the start of a leader term, because an earlier leader may have granted leases
// up to now, and after a stall of the leader.
func (t *Tracker) Reset(now clock.Reading) {
	t.started = now
	clear(t.lastRenewals)
}

// RecordRenewal records that a renewal of m was received at now, or that m was seen
// registered then.
func (t *Tracker) RecordRenewal(m table.MemberID, now clock.Reading) { t.lastRenewals[m] = now }

// Remove drops the renewals of a member that was removed from the directory.
func (t *Tracker) Remove(m table.MemberID) { delete(t.lastRenewals, m) }

// Expired reports whether m's lease has certainly ended. checksFences says that m's
// target itself refuses requests with an old fence, so that no Grace is needed.
func (t *Tracker) Expired(m table.MemberID, checksFences bool, now clock.Reading) bool {
	return now.MonoSince(t.latestRenewal(m)) > t.expiryWait(checksFences)
}

// Remaining returns the time until Expired reports true; zero if it does.
func (t *Tracker) Remaining(m table.MemberID, checksFences bool, now clock.Reading) time.Duration {
	return max(t.expiryWait(checksFences)-now.MonoSince(t.latestRenewal(m)), 0)
}

// latestRenewal returns the latest time at which m's lease may have been renewed.
func (t *Tracker) latestRenewal(m table.MemberID) clock.Reading {
	if from, ok := t.lastRenewals[m]; ok {
		return from
	}
	return t.started
}

// expiryWait returns the time after a renewal until the holder's lease has certainly
// ended.
func (t *Tracker) expiryWait(checksFences bool) time.Duration {
	if checksFences {
		return t.cfg.Duration + t.cfg.MaxClockDrift
	}
	return t.cfg.Duration + t.cfg.MaxClockDrift + t.cfg.Grace
}

// LastRenewal returns the time that RecordRenewal recorded last for m since Reset,
// and whether there is one.
func (t *Tracker) LastRenewal(m table.MemberID) (clock.Reading, bool) {
	r, ok := t.lastRenewals[m]
	return r, ok
}

// Members returns the members for which RecordRenewal was called since Reset, by
// ascending id.
func (t *Tracker) Members() []table.MemberID {
	ids := make([]table.MemberID, 0, len(t.lastRenewals))
	for id := range t.lastRenewals {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[table.MemberID])
	return ids
}
