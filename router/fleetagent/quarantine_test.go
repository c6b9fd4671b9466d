package fleetagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/timesource"
)

// report returns the quarantine report of the next renewal, which a leader of the
// term then answers.
func (a *Agent) reportTo(term uint64) *fleet.QuarantineReport {
	r := a.renewal(timesource.BootTime().Mono)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmQuarantineReport(term)
	return r.Quarantine
}

// Guards against crashes that are not reported again to a new leader, or that are
// reported with each renewal.
func TestCrashesAreReportedToEachLeader(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.Announce(announcement("t", 1, 1))
	h := ranges.Holder{Target: "t", Incarnation: 1, Process: "p"}
	is.True(a.reportTo(1) == nil)
	is.True(a.reportTo(1) == nil)
	a.RecordBroken(7, h, time.Now(), false)
	is.True(a.reportTo(1) == nil) // only an answer may be lost
	a.RecordUnreachable(true)
	is.Equal(a.reportTo(1).Crashes[0].Fingerprint, quarantine.Fingerprint(7))
	is.True(a.reportTo(1) == nil)
	is.True(a.reportTo(2) == nil) // the answer shows the new leader
	is.Equal(len(a.reportTo(2).Crashes), 1)
	is.True(a.reportTo(2) == nil)
}

// Guards against a frequent request that stays listed although its target completed
// it before the list arrived.
func TestEarlierCompletionClears(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.RecordCompleted(7)
	sent := fleet.Renewal{}
	listed := func(revision uint64, entries ...quarantine.Entry) fleet.RenewalReply {
		return fleet.RenewalReply{Revisions: fleet.Revisions{Quarantine: revision}, MembersComplete: true, Quarantine: &entries}
	}
	a.apply(sent, listed(1, quarantine.Entry{Fingerprint: 7, Crashes: 3, Age: time.Second, Refused: time.Minute}, quarantine.Entry{Fingerprint: 8, Crashes: 3, Age: time.Second, Refused: time.Minute}))
	is.True(a.View().RefusedFor(7) > 0)
	is.Equal(a.reportTo(1).Completed, []quarantine.Fingerprint{7})
	a.apply(sent, listed(2, quarantine.Entry{Fingerprint: 8, Crashes: 3, Age: time.Second, Refused: time.Minute}))
	is.Equal(a.View().RefusedFor(7), time.Duration(0))
	is.True(a.View().RefusedFor(8) > 0)
	is.Equal(len(a.quarantine.completed), 0)
}

// Guards against requests that a new leader, which does not have all reports yet, lets
// through.
func TestRefusalOutlastsIncompleteList(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	entry := []quarantine.Entry{{Fingerprint: 7, Crashes: 3, Refused: time.Minute}}
	a.apply(fleet.Renewal{}, fleet.RenewalReply{Revisions: fleet.Revisions{Term: 1, Quarantine: 1}, MembersComplete: true, Quarantine: &entry})
	none := []quarantine.Entry{}
	a.apply(fleet.Renewal{}, fleet.RenewalReply{Revisions: fleet.Revisions{Term: 2}, Quarantine: &none})
	is.True(a.View().RefusedFor(7) > 0)
	a.apply(fleet.Renewal{}, fleet.RenewalReply{Revisions: fleet.Revisions{Term: 2, Quarantine: 1}, MembersComplete: true, Quarantine: &none})
	is.Equal(a.View().RefusedFor(7), time.Duration(0))
}
