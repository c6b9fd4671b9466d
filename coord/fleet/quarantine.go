package fleet

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quarantine"
)

// RefusalRevision returns the number of changes of what is refused in this term.
func (l *Leader) RefusalRevision() uint64 { return l.quarantine.Refusals() }

// Quarantine returns the requests that processes watch or refuse.
func (l *Leader) Quarantine(now clock.Reading) []quarantine.Entry { return l.quarantine.Entries(now) }

// AllowBase is what an operator's order to allow a request is based on: the refusals of a
// leader.
type AllowBase struct {
	Term     uint64 `json:"term"`
	Refusals uint64 `json:"refusals"`
}

// AllowBase returns the base for an order that is given now.
func (l *Leader) AllowBase() AllowBase {
	return AllowBase{Term: l.term, Refusals: l.quarantine.Refusals()}
}

// AllowRequest ends the suspicion of a request. It reports whether there was one, and does
// nothing and returns false for current if refusals have begun or ended since the base was
// read: a late order must not lift a refusal that its sender has not seen.
func (l *Leader) AllowRequest(now clock.Reading, f quarantine.Fingerprint, base AllowBase) (suspected, current bool) {
	if base != l.AllowBase() {
		return false, false
	}
	return l.quarantine.Clear(now, f), true
}

// recordQuarantine applies what a process knows about requests that end targets.
func (l *Leader) recordQuarantine(now clock.Reading, report *QuarantineReport) {
	if report == nil {
		return
	}
	for _, e := range report.Known {
		l.quarantine.Adopt(now, e)
	}
	for _, c := range report.Crashes {
		l.quarantine.Record(now, c)
	}
	for _, f := range report.Completed {
		l.quarantine.Clear(now, f)
	}
}
