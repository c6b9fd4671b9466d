package fleetagent

import (
	"maps"
	"slices"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/timesource"
)

// maxReportedCrashes bounds the crashes that are reported to a new leader.
const maxReportedCrashes = 64

// quarantineState is what the agent knows about requests that end targets. Times are
// readings of timesource.BootTime.
type quarantineState struct {
	detector    quarantine.Detector
	completions quarantine.Completions
	// crashes are the newest crashes of the process's target, version is the number of
	// changes of crashes.
	crashes []quarantine.Crash
	version uint64
	// reported is the version that the leader of the term reportedTerm has got, if
	// anyReported is set; sent is the one in the last renewal, if anySent is set.
	reported, sent       uint64
	anyReported, anySent bool
	reportedTerm         uint64
	// completed are listed requests that the target has completed.
	completed map[quarantine.Fingerprint]bool
}

// quarantineEntry is a request to watch or refuse.
type quarantineEntry struct {
	crashes int
	// first is the time of the first crash, refusedUntil the end of the refusal.
	first, refusedUntil time.Duration
}

// RefusedFor returns the time for which a request is refused because it has ended
// targets, zero if it is not refused.
func (v *View) RefusedFor(f quarantine.Fingerprint) time.Duration {
	e, ok := v.quarantine[f]
	if !ok {
		return 0
	}
	return max(e.refusedUntil-timesource.BootTime().Mono, 0)
}

// RecordBroken records a request that was sent at a time of time.Now to an incarnation
// of the target, and whose connection broke before the answer was complete. first says
// that the target has not answered such a request yet.
func (a *Agent) RecordBroken(f quarantine.Fingerprint, target ranges.Holder, sent time.Time, first bool) {
	now := timesource.BootTime().Mono
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addCrashes(a.quarantine.detector.RequestBroken(now, quarantine.Crash{Fingerprint: f, Target: target, Started: now - time.Since(sent), Ended: now, First: first}))
}

// RecordCompleted records that the target completed a request without an error.
func (a *Agent) RecordCompleted(f quarantine.Fingerprint) {
	now := timesource.BootTime().Mono
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quarantine.completions.Record(now, f)
	if _, listed := a.view.Load().quarantine[f]; listed && !a.quarantine.completed[f] {
		a.clear(f)
		a.RenewNow()
	}
}

// clear reports to control that the target has completed a listed request. The caller
// holds mu.
func (a *Agent) clear(f quarantine.Fingerprint) {
	if a.quarantine.completed == nil {
		a.quarantine.completed = map[quarantine.Fingerprint]bool{}
	}
	a.quarantine.completed[f] = true
}

// addCrashes reports crashes of the target to control. The caller holds mu.
func (a *Agent) addCrashes(crashes []quarantine.Crash) {
	if len(crashes) == 0 {
		return
	}
	q := &a.quarantine
	for _, c := range crashes {
		a.log.Warn().Str("target", c.Target.Target).Str("fingerprint", c.Fingerprint.String()).Dur("ran", c.Ended-c.Started).
			Msg("target ended while it had the request")
	}
	q.crashes = append(q.crashes, crashes...)
	q.crashes = q.crashes[max(len(q.crashes)-maxReportedCrashes, 0):]
	q.version++
	a.RenewNow()
}

// quarantineReport returns the report for a renewal. The caller holds mu.
func (a *Agent) quarantineReport(now time.Duration, v *View) *fleet.QuarantineReport {
	q := &a.quarantine
	var report fleet.QuarantineReport
	q.sent, q.anySent = q.version, !q.anyReported || q.reported != q.version
	if q.anySent {
		for _, c := range q.crashes {
			report.Crashes = append(report.Crashes, quarantine.Report{
				Fingerprint: c.Fingerprint, Target: c.Target, SinceStarted: now - c.Started, SinceEnded: now - c.Ended, First: c.First,
			})
		}
		report.Known = v.quarantineEntries(now)
	}
	report.Completed = slices.Sorted(maps.Keys(q.completed))
	if len(report.Crashes)+len(report.Known)+len(report.Completed) == 0 {
		return nil
	}
	return &report
}

// confirmQuarantineReport records that the leader of a term has got the last renewal. A
// new leader gets the whole report with the next one. The caller holds mu.
func (a *Agent) confirmQuarantineReport(term uint64) {
	q := &a.quarantine
	switch {
	case term != q.reportedTerm:
		q.reportedTerm, q.anyReported = term, false
	case q.anySent:
		q.reported, q.anyReported = q.sent, true
	}
}

// applyQuarantine returns the requests to watch or refuse after a reply. While a new
// leader may not have all reports yet, those that are refused stay so.
func (v *View) applyQuarantine(now time.Duration, reply *fleet.RenewalReply) map[quarantine.Fingerprint]quarantineEntry {
	next := map[quarantine.Fingerprint]quarantineEntry{}
	if !reply.MembersComplete {
		for f, e := range v.quarantine {
			if e.refusedUntil > now {
				next[f] = e
			}
		}
	}
	for _, e := range *reply.Quarantine {
		next[e.Fingerprint] = quarantineEntry{crashes: e.Crashes, first: now - e.Age, refusedUntil: now + e.Refused}
	}
	return next
}

// applyQuarantine logs newly refused requests, and reports those of the list that the
// target has completed since their first crash. The caller holds mu.
func (a *Agent) applyQuarantine(old, next *View) {
	for f, e := range next.quarantine {
		if e.refusedUntil > old.quarantine[f].refusedUntil && old.RefusedFor(f) == 0 && next.RefusedFor(f) > 0 {
			a.log.Warn().Str("fingerprint", f.String()).Int("targets", e.crashes).Dur("for", next.RefusedFor(f)).
				Msg("request is refused: it has ended targets")
		}
		if a.quarantine.completions.Since(f, e.first) && !a.quarantine.completed[f] {
			a.clear(f)
			a.RenewNow()
		}
	}
	for f := range a.quarantine.completed {
		if _, listed := next.quarantine[f]; !listed {
			delete(a.quarantine.completed, f)
		}
	}
}

// quarantineEntries returns the listed requests as they are sent to a new leader.
func (v *View) quarantineEntries(now time.Duration) []quarantine.Entry {
	var list []quarantine.Entry
	for f, e := range v.quarantine {
		list = append(list, quarantine.Entry{Fingerprint: f, Crashes: e.crashes, Age: now - e.first, Refused: max(e.refusedUntil-now, 0)})
	}
	return list
}
