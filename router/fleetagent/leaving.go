package fleetagent

import (
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/timesource"
)

// TargetLeaving records that a target has announced that it stops. The target finishes
// the requests that it has and counts as draining, also if its first announcement arrives
// later. Arrived of the notice is set by TargetLeaving.
func (a *Agent) TargetLeaving(n fleet.Notice) {
	n.Arrived = timesource.Now().Wall.Milliseconds()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.departures.Record(n)
	t := &a.target
	// The clock of the target may be ahead.
	current := n.Incarnation == 0 && !n.Abandoned
	switch {
	case t.id == n.Target && (current || a.departures.Includes(n.Target, t.incarnation)):
		a.setLeaving("announced")
	case t.id == n.Target:
		a.log.Warn().Str("target", n.Target).Int64("life", n.Incarnation).Int64("newestLife", t.incarnation).Bool("abandoned", n.Abandoned).
			Msg("notice ignored: it may be of an earlier incarnation")
	default:
		a.log.Info().Str("target", n.Target).Int64("life", n.Incarnation).Msg("target that has not announced itself is leaving")
	}
}

// RecordLeaving records that an answer of an incarnation of the target says that it
// stops.
func (a *Agent) RecordLeaving(h ranges.Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.issuer != nil && a.issuer.Holder() == h {
		a.setLeaving("said in an answer")
	}
}

// setLeaving makes the target count as draining. The caller holds mu.
func (a *Agent) setLeaving(how string) {
	if a.target.leaving {
		return
	}
	a.target.leaving = true
	a.log.Info().Str("target", a.target.id).Str("how", how).Msg("target is leaving")
	a.RenewNow()
	a.notifyChange()
}
