package fleetagent

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/timesource"
)

// Announcement is the content of one announcement of a target.
type Announcement struct {
	ID string
	// Incarnation is the start of the target in Unix milliseconds.
	Incarnation      int64
	Service, Address string
	Slots            int
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64
	Draining bool
	// ColdRemaining is the time for which the target remains cold.
	ColdRemaining time.Duration
	// Ranges are the ranges that the target holds and those that it released.
	Ranges grant.RangeReport
}

// AnnounceResult says whether an announcement was accepted, or why not.
type AnnounceResult string

const (
	// AnnounceAccepted means that the announcement was applied.
	AnnounceAccepted AnnounceResult = "taken"
	// AnnounceStale means that the announcement was sent by an earlier
	// incarnation, or that a later announcement has already arrived.
	AnnounceStale AnnounceResult = "stale"
	// AnnounceForeign means that the announcement is not from this process's
	// target.
	AnnounceForeign AnnounceResult = "foreign"
	// AnnounceMalformed means that the announcement cannot be from a target, whatever
	// it says.
	AnnounceMalformed AnnounceResult = "malformed"
)

// target is the announced state of the process's target. Times are readings of
// timesource.BootTime.
type target struct {
	id          string
	incarnation int64
	slots       int
	sequence    uint64
	// draining is set once an announcement of this incarnation had Draining;
	// later ones do not reset it.
	draining bool
	// leaving is set once the target has announced that it stops.
	leaving          bool
	lastAnnouncement time.Duration
	coldUntil        time.Duration
	// unreachable is set if no connection could be opened since the last
	// announcement.
	unreachable bool
	// awaitsCalls is set from the end of a connection for calls to the target until
	// its next announcement: no calls are sent.
	awaitsCalls bool
	// failures is the number of consecutive requests without a complete answer.
	failures int
	// awaitingAnnouncement is set after a drain until the next announcement,
	// because the target may have become cold in the meantime.
	awaitingAnnouncement bool
	// earlierLimit is the limit that the target named to an earlier start of this
	// process, as control knows it.
	earlierLimit float64
}

const (
	// goneIntervals is the number of announcement intervals without an
	// announcement after which a target is listed as gone. It is large because
	// announcements may be delayed by seconds: their absence alone does not show
	// that the target has ended.
	goneIntervals = 6
	// endedIntervals is the number of announcement intervals without an
	// announcement after which a target that also refuses connections counts as
	// ended, and a target whose grants have all expired is listed as gone, so
	// that its keys are assigned to others.
	endedIntervals = 1.5
)

// announcementOverdue reports whether more than a number of announcement
// intervals have passed since the last announcement.
func (t *target) announcementOverdue(now time.Duration, intervals float64, interval time.Duration) bool {
	return float64(now-t.lastAnnouncement) > intervals*float64(interval)
}

// condition returns the condition of the target, which must have announced
// itself. The caller holds mu.
func (a *Agent) condition(now time.Duration) fleet.Condition {
	t, interval := &a.target, a.cfg.AnnounceInterval
	switch {
	case t.draining || t.leaving:
		return fleet.Draining
	case t.unreachable, t.awaitingAnnouncement, t.announcementOverdue(now, goneIntervals, interval):
		return fleet.Gone
	case a.issuer.HasKeyspace() && a.issuer.GrantsExpired(clock.At(now)) && t.announcementOverdue(now, endedIntervals, interval):
		return fleet.Gone
	}
	return fleet.Ready
}

// releaseExpired counts the ranges whose release is requested as released once
// all grants of the target have expired: a target that sends no announcements
// cannot report their release itself. The caller holds mu.
func (a *Agent) releaseExpired(now time.Duration) {
	if a.issuer == nil {
		return
	}
	if released := a.issuer.ReleaseExpired(clock.At(now)); released > 0 {
		a.log.Warn().Str("target", a.target.id).Int("rows", released).Dur("silence", now-a.target.lastAnnouncement).
			Msg("grants expired; their key ranges count as released")
	}
}

// Announce applies an announcement and returns the grant with which it is
// answered. The grant is zero, which leaves the earlier one in force until it
// expires, if the result is not AnnounceAccepted or too little of the lease is
// left.
func (a *Agent) Announce(announcement Announcement) (grant.Grant, AnnounceResult) {
	now := timesource.BootTime()
	if err := announcement.check(timesource.Now().Wall.Milliseconds()); err != nil {
		a.log.Warn().Err(err).Str("address", announcement.Address).Msg("announcement ignored")
		return grant.Grant{}, AnnounceMalformed
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.target
	switch {
	case announcement.ID == "" || announcement.Service != a.cfg.Service || announcement.Address != a.cfg.Address:
		a.log.Warn().Str("target", announcement.ID).Str("service", announcement.Service).Str("address", announcement.Address).Msg("announcement ignored: it is not from the target of this process")
		return grant.Grant{}, AnnounceForeign
	case announcement.Incarnation < t.incarnation, a.ended.isStale(announcement),
		announcement.ID == t.id && announcement.Incarnation == t.incarnation && announcement.Sequence <= t.sequence:
		a.log.Info().Str("target", announcement.ID).Int64("life", announcement.Incarnation).Uint64("sequence", announcement.Sequence).Uint64("newest", t.sequence).
			Int64("newestLife", t.incarnation).Msg("announcement ignored: a later one has arrived already")
		return grant.Grant{}, AnnounceStale
	}
	before := a.member(now.Mono)
	if announcement.ID != t.id || announcement.Incarnation != t.incarnation {
		a.startIncarnation(now, announcement)
	}
	becameCold := announcement.ColdRemaining > 0 && t.coldUntil <= now.Mono
	t.sequence, t.slots, t.lastAnnouncement = announcement.Sequence, announcement.Slots, now.Mono
	t.draining = t.draining || announcement.Draining
	t.coldUntil = now.Mono + announcement.ColdRemaining
	t.unreachable, t.awaitingAnnouncement, t.awaitsCalls, t.failures = false, false, false, 0
	if becameCold {
		a.log.Info().Str("target", t.id).Dur("for", announcement.ColdRemaining).Uint64("sequence", announcement.Sequence).Msg("target is cold")
	}
	if a.cfg.Request != nil {
		a.cfg.Request.Caller.Resume()
	}
	released := len(a.issuer.ReleasedRanges())
	g := a.answerAnnouncement(now, announcement.Ranges)
	if g.Deferred > 0 {
		a.log.Warn().Str("target", t.id).Int("rows", len(g.Ranges)).Int("deferred", g.Deferred).Msg("grant is too small for all key ranges; some are deferred")
	}
	if after := a.member(now.Mono); after != before || len(a.issuer.ReleasedRanges()) != released {
		if after != before {
			a.log.Info().Str("target", t.id).Int64("life", t.incarnation).Str("condition", string(after.Condition)).
				Str("before", string(before.Condition)).Uint64("sequence", t.sequence).Msg("target changed")
		}
		a.RenewNow()
	}
	a.notifyChange()
	return g, AnnounceAccepted
}

// RecordUnreachable records that no connection to the target could be opened.
// The target gets no requests until its next announcement, because it may be
// cold when it is back. refused is set if the connection was refused: if the
// target's announcements are also overdue, it has ended.
func (a *Agent) RecordUnreachable(refused bool) {
	now := timesource.BootTime().Mono
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.target
	if t.id == "" {
		return
	}
	if refused && a.issuer != nil {
		a.addCrashes(a.quarantine.detector.TargetEnded(now, a.issuer.Holder()))
	}
	if !t.unreachable {
		t.unreachable = true
		a.log.Warn().Str("target", t.id).Bool("refused", refused).Dur("silence", now-t.lastAnnouncement).Msg("target cannot be reached")
		a.RenewNow()
		a.notifyChange()
	}
	if refused && t.announcementOverdue(now, endedIntervals, a.cfg.AnnounceInterval) {
		a.endIncarnation(a.issuer.Holder(), "it refuses connections and its announcements are overdue")
		// The incarnation is retained, so that late announcements of earlier ones
		// are still stale.
		a.ended = endedTarget{sequence: t.sequence, issuer: a.issuer}
		a.target, a.issuer = target{incarnation: t.incarnation}, nil
		a.RenewNow()
	}
}

// RecordFailure records a request without a complete answer.
func (a *Agent) RecordFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target.failures++
	if a.target.failures == maybeColdFailures {
		a.log.Warn().Str("target", a.target.id).Int("requests", maybeColdFailures).Msg("target may have restarted; it is treated as cold")
	}
}

// RecordSuccess records a complete answer.
func (a *Agent) RecordSuccess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target.failures = 0
}

const (
	// maybeColdFailures is the number of consecutive requests without a complete
	// answer after which the target may have restarted, cold, without having
	// announced it. Fewer failures may have other reasons.
	maybeColdFailures = 3
	// maybeColdIntervals is the number of announcement intervals without an
	// announcement after which the target may have restarted.
	maybeColdIntervals = 2.5
)

// maybeCold reports whether the target may have restarted, and be cold, since
// its last announcement.
func (t *target) maybeCold(now, interval time.Duration) bool {
	return t.failures >= maybeColdFailures || float64(now-t.lastAnnouncement) > maybeColdIntervals*float64(interval)
}

// Target is the state of the target that the gate needs.
type Target struct {
	ID    string
	Slots int
	// Incarnation identifies this start of the target at its process.
	Incarnation ranges.Holder
	// EarlierLimit is the limit in requests per second that the target named to an
	// earlier start of the process, or zero.
	EarlierLimit float64
	// Accepts is set if the target may get new requests. It is not set before the first
	// reply of control: the target may have announced to an earlier start of the process
	// that it stops.
	Accepts bool
	// ColdUntil is the announced or assumed end of its cold period, on the clock
	// of timesource.BootTime.
	ColdUntil time.Duration
	// NextGrant is the expected time of its next grant, on the same clock.
	NextGrant time.Duration
}

// Target returns the state of the process's target, and false if there is none.
func (a *Agent) Target() (Target, bool) {
	now := timesource.BootTime().Mono
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.target
	if t.id == "" {
		return Target{}, false
	}
	coldUntil := t.coldUntil
	if t.maybeCold(now, a.cfg.AnnounceInterval) {
		coldUntil = max(coldUntil, now+a.cfg.AnnounceInterval) // until the next announcement, which says how long it is cold
	}
	return Target{
		ID: t.id, Slots: t.slots, Incarnation: ranges.Holder{Target: t.id, Incarnation: t.incarnation, Process: a.cfg.Process}, EarlierLimit: t.earlierLimit, ColdUntil: coldUntil, NextGrant: a.nextGrant(now),
		Accepts: a.departures.loaded && a.condition(now) == fleet.Ready,
	}, true
}

// Holds reports whether the target may start a request on a key now, and
// whether the key is assigned to it and its release is not requested, even if
// it has no valid grant for it.
func (a *Agent) Holds(key uint16) (mayServe, assigned bool) {
	now := timesource.BootTime()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.issuer == nil {
		return false, false
	}
	return a.issuer.MayServe(now, key), a.issuer.IsAssigned(key)
}
