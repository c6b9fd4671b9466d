package fleetagent

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/quality"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/timesource"
)

// testAgent returns an agent that has had a reply of control.
func testAgent() *Agent {
	a := newTestAgent(leaderclient.New(nil, nil))
	a.loadDepartures(nil)
	return a
}

func newTestAgent(leaders *leaderclient.Client) *Agent {
	return New(Config{
		Process: "p", Service: "s", Address: "a", AnnounceInterval: time.Hour, Grant: grant.DefaultConfig(10*time.Second, time.Hour),
	}, leaders, logging.ForComponent(logging.New(io.Discard, "error", false), "member"))
}

func announcement(id string, incarnation int64, sequence uint64) Announcement {
	return Announcement{ID: id, Incarnation: incarnation, Service: "s", Address: "a", Slots: 4, Sequence: sequence}
}

// Guards against an announcement that is applied although a later incarnation
// of the target, or a later announcement of the same one, was received before.
// Announcements may arrive late or out of order.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	for _, step := range []struct {
		report Announcement
		want   AnnounceResult
	}{
		{announcement("t", 10, 5), AnnounceAccepted},
		{announcement("t", 10, 4), AnnounceStale},
		{announcement("t", 10, 6), AnnounceAccepted},
		{announcement("t", 20, 1), AnnounceAccepted},
		{announcement("t", 10, 7), AnnounceStale},
		{announcement("u", 30, 1), AnnounceAccepted},
		{announcement("t", 20, 2), AnnounceStale},
	} {
		_, result := a.Announce(step.report)
		is.Equal(result, step.want)
	}
	is.Equal(len(a.endedHolders), 2)
}

// Guards against announcements for another service, or without an id, that
// are accepted as those of the process's target.
func TestForeignAnnouncements(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	other := announcement("t", 1, 1)
	other.Service = "x"
	_, result := a.Announce(other)
	is.Equal(result, AnnounceForeign)
	other = announcement("", 1, 1)
	_, result = a.Announce(other)
	is.Equal(result, AnnounceForeign)
	_, ok := a.Target()
	is.True(!ok)
}

// Guards against full load on a target that may have restarted, and be cold,
// without an announcement since: three consecutive failures count as a
// restart. Also guards against requests to a target that could not be reached,
// before its next announcement.
func TestTargetThatMayHaveRestartedIsCold(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.Announce(announcement("t", 1, 1))
	cold := func() bool {
		at, _ := a.Target()
		return at.ColdUntil > timesource.BootTime().Mono
	}
	is.True(!cold())
	a.RecordFailure()
	a.RecordFailure()
	a.RecordSuccess()
	a.RecordFailure()
	a.RecordFailure()
	is.True(!cold())
	a.RecordFailure()
	is.True(cold())
	a.Announce(announcement("t", 1, 2))
	is.True(!cold())
	a.RecordUnreachable(false)
	at, _ := a.Target()
	is.True(!at.Accepts)
	a.Announce(announcement("t", 1, 3))
	at, _ = a.Target()
	is.True(at.Accepts)
}

// grantRecorder is a GrantCaller that answers with a fixed result.
type grantRecorder struct {
	calls  chan grant.Call
	result grant.CallResult
}

// CallTarget implements GrantCaller.
func (r *grantRecorder) CallTarget(_ context.Context, c grant.Call) grant.CallResult {
	r.calls <- c
	return r.result
}

// Resume implements GrantCaller.
func (r *grantRecorder) Resume() {}

// Guards against calls to a target that may have been restarted before it has
// announced itself: a later incarnation would get the fences of an earlier one.
func TestNoGrantsToUnannouncedTarget(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	caller := &grantRecorder{calls: make(chan grant.Call, 10), result: grant.CallResult{Outcome: grant.CallNotSent, ConnectionLost: true}}
	a.cfg.Request = &RequestConfig{Grant: grant.DefaultRequestConfig(4 * time.Second), Caller: caller}
	a.Announce(announcement("t", 1, 1))
	holder := ranges.Holder{Target: "t", Incarnation: 1, Process: "p"}
	assign := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.issuer.SetRanges([]ranges.Range{{To: ranges.LastKey, Holder: holder, Fence: 5}})
		a.issuer.SetLease(timesource.BootTime(), 4*time.Second)
		a.sendCalls()
	}
	assign()
	is.Equal((<-caller.calls).Range.Fence, uint64(5))
	waits := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.target.awaitsCalls
	}
	for !waits() {
		time.Sleep(time.Millisecond)
	}
	assign()
	time.Sleep(300 * time.Millisecond) // longer than the pause after a failed call
	is.Equal(len(caller.calls), 0)
	a.Announce(announcement("t", 1, 2))
	is.Equal((<-caller.calls).Range.Fence, uint64(5))
}

// Guards against a weight that is reported for another incarnation of the target, and
// against a directory entry that changes at full weight.
func TestWeightInRenewal(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.Announce(announcement("t", 10, 1))
	usage := Usage{Target: ranges.Holder{Target: "t", Incarnation: 10, Process: "p"}, Weight: 2}
	a.SetUsage(func() Usage { return usage })
	is.Equal(a.renewal(timesource.BootTime().Mono).Member.Weight, 2)
	usage.Weight = quality.Full
	is.Equal(a.renewal(timesource.BootTime().Mono).Member.Weight, 0)
	usage.Weight, usage.Target.Incarnation = 2, 9
	is.Equal(a.renewal(timesource.BootTime().Mono).Member.Weight, 0)
}

// Guards against late announcements from before the start of the process that release a
// range which the target has got since.
func TestAnnouncementsBeforeStartReleaseNothing(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.cfg.Lease = 300 * time.Millisecond
	holder := ranges.Holder{Target: "t", Incarnation: 1, Process: "p"}
	a.view.Store(&View{Keyspaces: map[string]fleet.Keyspace{"s": {Revision: 1, Ranges: []ranges.Range{
		{From: 0, To: ranges.LastKey, Holder: holder, Fence: 4, Releasing: true}}}}})
	for sequence := range uint64(4) {
		late := announcement("t", 1, sequence+1)
		late.Ranges.Released = []ranges.Range{{From: 0, To: ranges.LastKey, HandoverToken: "earlier"}}
		_, result := a.Announce(late)
		is.Equal(result, AnnounceAccepted)
	}
	is.Equal(len(a.renewal(timesource.BootTime().Mono).Released), 0)
	// The grants of the earlier process end with its lease.
	is.Equal(len(a.renewal(a.started+a.cfg.Lease).Released), 1)
}

// Guards against a target that counts as ended and goes on: its earlier announcements are
// stale, and its earlier grants are not forgotten.
func TestTargetThatGoesOn(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.cfg.AnnounceInterval = time.Nanosecond
	a.Announce(announcement("t", 1, 5))
	a.issuer.SetLease(timesource.BootTime(), 5*time.Second)
	a.issuer.SetRanges([]ranges.Range{{From: 0, To: ranges.LastKey, Holder: a.issuer.Holder(), Fence: 4}})
	a.Announce(announcement("t", 1, 6))
	end := a.issuer.GrantsEnd()
	a.RecordUnreachable(true)
	_, known := a.Target()
	is.True(!known)
	_, result := a.Announce(announcement("t", 1, 6))
	is.Equal(result, AnnounceStale)
	_, result = a.Announce(announcement("t", 1, 7))
	is.Equal(result, AnnounceAccepted)
	is.Equal(a.issuer.GrantsEnd(), end)
}
