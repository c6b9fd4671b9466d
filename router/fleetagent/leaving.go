package fleetagent

import "bramleyquay.example/coord/ranges"

// TargetLeaving records that the target id has announced that it stops. The
// target finishes the requests that it has and counts as draining.
func (a *Agent) TargetLeaving(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target.id == id {
		a.setLeaving("announced")
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
