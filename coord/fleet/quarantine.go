package fleet

import "bramleyquay.example/coord/clock"

// QuarantineRevision returns the number of changes of the quarantine in this term.
func (l *Leader) QuarantineRevision() uint64 { return l.quarantine.Revision() }

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
