package fleet

import (
	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/quarantine"
)

// RefusalRevision returns the number of changes of what is refused in this term.
func (l *Leader) RefusalRevision() uint64 { return l.quarantine.Refusals() }

// Quarantine returns the requests that processes watch or refuse.
func (l *Leader) Quarantine(now clock.Reading) []quarantine.Entry { return l.quarantine.Entries(now) }

// AllowRequest ends the suspicion of a request. It reports whether there was one.
func (l *Leader) AllowRequest(now clock.Reading, f quarantine.Fingerprint) bool {
	return l.quarantine.Clear(now, f)
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
