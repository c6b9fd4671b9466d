package lease

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/table"
)

// Tracker is the control leader's side of all leases. It is volatile: a new
// leader starts with Reset.
//
// Invariant: a member is reported as expired only when its holder's lease has
// ended, given that clocks diverge by at most Config.Drift. The tracker counts
// monotonic time only: a wall clock that is stepped forward must not shorten
// the wait.
type Tracker struct {
	cfg     Config
	started clock.Reading
	heard   map[table.MemberID]clock.Reading
}

// NewTracker returns a tracker that has heard from nobody.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, heard: map[table.MemberID]clock.Reading{}}
}

// Reset forgets all leases because a new leader term starts now. An earlier
// leader may have granted leases up to this moment.
func (t *Tracker) Reset(now clock.Reading) {
	t.started = now
	clear(t.heard)
}

// RecordRenewal records that a renewal of m was received at now.
func (t *Tracker) RecordRenewal(m table.MemberID, now clock.Reading) { t.heard[m] = now }

// Remove drops a member that was removed.
func (t *Tracker) Remove(m table.MemberID) { delete(t.heard, m) }

// Expired reports whether m's lease has surely ended. checksFences says that
// m's target refuses work outside its grants, so no grace is needed.
func (t *Tracker) Expired(m table.MemberID, checksFences bool, now clock.Reading) bool {
	return now.MonoSince(t.from(m)) > t.wait(checksFences)
}

// Remaining returns the time until Expired reports true; zero if it does.
func (t *Tracker) Remaining(m table.MemberID, checksFences bool, now clock.Reading) time.Duration {
	return max(t.wait(checksFences)-now.MonoSince(t.from(m)), 0)
}

// from returns the last moment at which m's lease may have been renewed.
func (t *Tracker) from(m table.MemberID) clock.Reading {
	if from, ok := t.heard[m]; ok {
		return from
	}
	return t.started
}

// wait is the time after a renewal at which the holder's lease has ended.
func (t *Tracker) wait(checksFences bool) time.Duration {
	if checksFences {
		return t.cfg.Duration + t.cfg.Drift
	}
	return t.cfg.Duration + t.cfg.Drift + t.cfg.Grace
}

// LastRenewal returns when m last renewed in this leader term.
func (t *Tracker) LastRenewal(m table.MemberID) (clock.Reading, bool) {
	r, ok := t.heard[m]
	return r, ok
}

// Members returns the members heard from in this term, in ascending order.
func (t *Tracker) Members() []table.MemberID {
	ids := make([]table.MemberID, 0, len(t.heard))
	for id := range t.heard {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[table.MemberID])
	return ids
}
