package fleetagent

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/timesource"
)

// Announcement is what a target says of itself in one announcement.
type Announcement struct {
	ID string
	// Incarnation is the start of the target in Unix milliseconds.
	Incarnation      int64
	Service, Address string
	Slots            int
	// Sequence rises with each announcement of one life.
	Sequence uint64
	Draining bool
	// ColdRemaining is the time for which the target remains cold.
	ColdRemaining time.Duration
	Ranges        grant.RangeReport
}

// AnnounceResult says what an announcement was taken for.
type AnnounceResult string

const (
	// AnnounceAccepted announcements are in force.
	AnnounceAccepted AnnounceResult = "taken"
	// Stale announcements were sent by an earlier life or before a later
	// announcement that has arrived already.
	Stale AnnounceResult = "stale"
	// AnnounceForeign announcements are not of the target beside this process.
	AnnounceForeign AnnounceResult = "foreign"
)

// target is what the process knows of the target beside it. Times are those
// of timesource.BootTime.
type target struct {
	id       string
	life     int64
	slots    int
	sequence uint64
	draining bool
	// left is set once the target has said that it ends.
	left      bool
	announced time.Duration
	coldUntil time.Duration
	// unreachable is set if no connection could be opened since the last
	// announcement.
	unreachable bool
	// broken counts the requests in a row without a whole answer.
	broken int
	// unsure is set while the target may have become cold unnoticed.
	unsure bool
}

const (
	// silentIntervals is the number of announcement intervals without one
	// after which a target is listed as gone. Announcements may be seconds
	// late, so that silence alone says little.
	silentIntervals = 6
	// endedIntervals is the same for a target that also refuses connections:
	// then it has certainly ended. For one whose grants have run out it is the
	// silence after which its keys go to others.
	endedIntervals = 1.5
)

func (t *target) silentFor(now time.Duration, intervals float64, interval time.Duration) bool {
	return float64(now-t.announced) > intervals*float64(interval)
}

// condition returns the target's condition.
func (a *Agent) condition(now time.Duration) fleet.Condition {
	t, interval := &a.target, a.cfg.AnnounceInterval
	switch {
	case t.draining || t.left:
		return fleet.Draining
	case t.unreachable, t.unsure, t.silentFor(now, silentIntervals, interval):
		return fleet.Gone
	case a.issuer.HasKeyspace() && a.issuer.GrantsExpired(clock.At(now)) && t.silentFor(now, endedIntervals, interval):
		return fleet.Gone
	}
	return fleet.Ready
}

// expire gives back the rows of a target that has been silent until all its
// grants had run out.
func (a *Agent) expire(now time.Duration) {
	if a.issuer == nil {
		return
	}
	if n := a.issuer.ReleaseExpired(clock.At(now)); n > 0 {
		a.log.Warn().Str("target", a.target.id).Int("rows", n).Dur("silence", now-a.target.announced).
			Msg("grants have run out; rows count as released")
	}
}

// Announce takes an announcement and returns the grant to answer it with.
func (a *Agent) Announce(r Announcement) (grant.Grant, AnnounceResult) {
	now := timesource.BootTime()
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.target
	switch {
	case r.ID == "" || r.Service != a.cfg.Service || r.Address != a.cfg.Address:
		a.log.Warn().Str("target", r.ID).Str("service", r.Service).Str("address", r.Address).Msg("foreign announcement ignored")
		return grant.Grant{}, AnnounceForeign
	case r.Incarnation < t.life, r.ID == t.id && r.Incarnation == t.life && r.Sequence <= t.sequence:
		a.log.Info().Str("target", r.ID).Int64("life", r.Incarnation).Uint64("sequence", r.Sequence).Uint64("newest", t.sequence).
			Int64("newestLife", t.life).Msg("late announcement ignored")
		return grant.Grant{}, Stale
	}
	before := a.member(now.Mono)
	if r.ID != t.id || r.Incarnation != t.life {
		a.newLife(now, r)
	}
	cold := r.ColdRemaining > 0 && t.coldUntil <= now.Mono
	t.sequence, t.slots, t.announced = r.Sequence, r.Slots, now.Mono
	t.draining = t.draining || r.Draining
	t.coldUntil = now.Mono + r.ColdRemaining
	t.unreachable, t.unsure, t.broken = false, false, 0
	if cold {
		a.log.Info().Str("target", t.id).Dur("for", r.ColdRemaining).Uint64("sequence", r.Sequence).Msg("target is cold")
	}
	released := len(a.issuer.ReleasedRanges())
	g := a.issuer.HandleReport(now, r.Ranges)
	if g.Deferred > 0 {
		a.log.Warn().Str("target", t.id).Int("rows", len(g.Ranges)).Int("deferred", g.Deferred).Msg("grant has no room for all rows")
	}
	if after := a.member(now.Mono); after != before || len(a.issuer.ReleasedRanges()) != released {
		if after != before {
			a.log.Info().Str("target", t.id).Int64("life", t.life).Str("condition", string(after.Condition)).
				Str("before", string(before.Condition)).Uint64("sequence", t.sequence).Msg("target changed")
		}
		a.RenewNow()
	}
	a.notify()
	return g, AnnounceAccepted
}

// newLife begins the account of another start of the target.
func (a *Agent) newLife(now clock.Reading, r Announcement) {
	if a.issuer != nil {
		a.end(a.issuer.Holder(), "another start announced itself")
	}
	a.target = target{id: r.ID, life: r.Incarnation}
	a.issuer = grant.New(a.cfg.Hold, ranges.Holder{Target: r.ID, Incarnation: r.Incarnation, Process: a.cfg.Process}, now)
	a.issuer.SetRanges(a.view.Load().Keyspaces[a.cfg.Service].Ranges)
	a.log.Info().Str("target", r.ID).Int64("life", r.Incarnation).Int("slots", r.Slots).Dur("at", now.Mono).Msg("target joined")
}

func (a *Agent) end(h ranges.Holder, why string) {
	a.ended = append(a.ended, h)
	if len(a.ended) > maxEnded {
		a.ended = a.ended[1:]
	}
	a.log.Info().Str("target", h.Target).Int64("life", h.Incarnation).Str("why", why).Msg("target ended")
}

// TargetLeaving records that the target has said that it ends; it serves on for a
// while.
func (a *Agent) TargetLeaving(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target.id != id {
		return
	}
	a.target.left = true
	a.log.Info().Str("target", id).Msg("target leaves")
	a.RenewNow()
	a.notify()
}

// RecordUnreachable records that no connection to the target could be opened. It
// gets nothing until it announces itself: it may come back cold. refused says
// that nobody listened at its address.
func (a *Agent) RecordUnreachable(refused bool) {
	now := timesource.BootTime().Mono
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.target
	if t.id == "" {
		return
	}
	if !t.unreachable {
		t.unreachable = true
		a.log.Warn().Str("target", t.id).Bool("refused", refused).Dur("silence", now-t.announced).Msg("target cannot be reached")
		a.RenewNow()
		a.notify()
	}
	if refused && t.silentFor(now, endedIntervals, a.cfg.AnnounceInterval) {
		a.end(a.issuer.Holder(), "it refuses connections and is silent")
		a.target, a.issuer = target{life: t.life}, nil
		a.RenewNow()
	}
}

// RecordFailure records a request without a whole answer.
func (a *Agent) RecordFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target.broken++
	if a.target.broken == doubtfulBroken {
		a.log.Warn().Str("target", a.target.id).Int("requests", doubtfulBroken).Msg("target may have started again; it is treated as cold")
	}
}

// RecordSuccess records a whole answer.
func (a *Agent) RecordSuccess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target.broken = 0
}

const (
	// doubtfulBroken is the number of requests in a row without a whole answer
	// after which the target may have started again, cold and unannounced.
	// Single answers are lost for other reasons.
	doubtfulBroken = 3
	// doubtfulIntervals is the same in announcement intervals without one.
	doubtfulIntervals = 2.5
)

// doubtful reports whether the target may be cold without having said so.
func (t *target) doubtful(now, interval time.Duration) bool {
	return t.broken >= doubtfulBroken || float64(now-t.announced) > doubtfulIntervals*float64(interval)
}

// Target describes the target as far as the gate needs it.
type Target struct {
	ID    string
	Slots int
	// Accepts says that it may get new requests.
	Accepts bool
	// ColdUntil is the end of its cold time, known or suspected, on the clock of
	// timesource.BootTime.
	ColdUntil time.Duration
	// NextAnnouncement is when it will announce itself again, on the same clock.
	NextAnnouncement time.Duration
}

// Target returns the target beside the process; false without one.
func (a *Agent) Target() (Target, bool) {
	now := timesource.BootTime().Mono
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.target
	if t.id == "" {
		return Target{}, false
	}
	cold := t.coldUntil
	if t.doubtful(now, a.cfg.AnnounceInterval) {
		cold = max(cold, now+a.cfg.AnnounceInterval) // the next announcement tells
	}
	return Target{
		ID: t.id, Slots: t.slots, ColdUntil: cold, NextAnnouncement: t.announced + a.cfg.AnnounceInterval,
		Accepts: a.condition(now) == fleet.Ready,
	}, true
}

// Holds reports whether the target may begin a request on a key now, and
// whether the table gives it the key.
func (a *Agent) Holds(key uint16) (holds, owns bool) {
	now := timesource.BootTime()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.issuer == nil {
		return false, false
	}
	return a.issuer.MayServe(now, key), a.issuer.IsAssigned(key)
}
