package fleetagent

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// endedTarget is the last target of the process that counts as ended without a
// successor. If it announces itself after all, its earlier announcements are still stale
// and its earlier grants may still be in force.
type endedTarget struct {
	sequence uint64
	issuer   issuer // nil if there is none
}

// isStale reports whether an announcement of that target was sent before it ended.
func (e endedTarget) isStale(announcement Announcement) bool {
	if e.issuer == nil {
		return false
	}
	h := e.issuer.Holder()
	return announcement.ID == h.Target && announcement.Incarnation == h.Incarnation && announcement.Sequence <= e.sequence
}

// startIncarnation replaces the target's state after a new start of the target.
// The caller holds mu.
func (a *Agent) startIncarnation(now clock.Reading, announcement Announcement) {
	if a.issuer != nil {
		a.endIncarnation(a.issuer.Holder(), "a new incarnation announced itself")
	}
	a.target = target{id: announcement.ID, incarnation: announcement.Incarnation}
	a.issuer = a.newIssuer(ranges.Holder{Target: announcement.ID, Incarnation: announcement.Incarnation, Process: a.cfg.Process})
	a.issuer.SetRanges(a.view.Load().Keyspaces[a.cfg.Service].Ranges)
	a.log.Info().Str("target", announcement.ID).Int64("life", announcement.Incarnation).Int("slots", announcement.Slots).Dur("at", now.Mono).Msg("target joined")
	if a.departures.known.Includes(announcement.ID, announcement.Incarnation) {
		a.setLeaving("announced before its first announcement arrived")
	}
}

// endIncarnation records that an incarnation of the target has ended, so that
// renewals report it. The caller holds mu.
func (a *Agent) endIncarnation(h ranges.Holder, reason string) {
	a.endedHolders = append(a.endedHolders, h)
	if len(a.endedHolders) > maxEndedHolders {
		a.endedHolders = a.endedHolders[1:]
	}
	a.log.Info().Str("target", h.Target).Int64("life", h.Incarnation).Str("why", reason).Msg("target ended")
}
