package fleetagent

import (
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/timesource"
)

// TargetLeaving records that the target id has announced that it stops. The target
// finishes the requests that it has and counts as draining, also if its first
// announcement arrives later. incarnation is its start in Unix milliseconds, or zero if
// the notice does not say it.
func (a *Agent) TargetLeaving(id string, incarnation int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.departures.Record(id, incarnation, timesource.Now().Wall.Milliseconds())
	t := &a.target
	switch {
	case t.id == id && (incarnation == 0 || a.departures.Includes(id, t.incarnation)):
		a.setLeaving("announced")
	case t.id == id:
		a.log.Info().Str("target", id).Int64("life", incarnation).Int64("newestLife", t.incarnation).Msg("notice ignored: it is of an earlier incarnation")
	default:
		a.log.Info().Str("target", id).Int64("life", incarnation).Msg("target that has not announced itself is leaving")
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
