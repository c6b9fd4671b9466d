package fleetagent

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/grant"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/timesource"
)

func testAgent() *Agent {
	return New(Config{
		Process: "p", Service: "s", Address: "a", AnnounceInterval: time.Hour, Hold: grant.DefaultConfig(10 * time.Second),
	}, leaderclient.New(nil, nil), logging.ForComponent(logging.New(io.Discard, "error", false), "member"))
}

func report(id string, life int64, sequence uint64) Announcement {
	return Announcement{ID: id, Incarnation: life, Service: "s", Address: "a", Slots: 4, Sequence: sequence}
}

// Guards against an announcement that was delayed until a new start of the
// target had announced itself, and against one that overtook another.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	for _, step := range []struct {
		report Announcement
		want   AnnounceResult
	}{
		{report("t", 10, 5), AnnounceAccepted},
		{report("t", 10, 4), Stale},
		{report("t", 10, 6), AnnounceAccepted},
		{report("t", 20, 1), AnnounceAccepted},
		{report("t", 10, 7), Stale},
		{report("u", 30, 1), AnnounceAccepted},
		{report("t", 20, 2), Stale},
	} {
		_, verdict := a.Announce(step.report)
		is.Equal(verdict, step.want)
	}
	is.Equal(len(a.ended), 2)
}

// Guards against announcements of other writers that take the target's place.
func TestForeignAnnouncements(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	other := report("t", 1, 1)
	other.Service = "x"
	_, verdict := a.Announce(other)
	is.Equal(verdict, AnnounceForeign)
	other = report("", 1, 1)
	_, verdict = a.Announce(other)
	is.Equal(verdict, AnnounceForeign)
	_, known := a.Target()
	is.True(!known)
}

// Guards against a target that came back cold, before its announcement, and
// gets the full load.
func TestDoubtfulTargetIsCold(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.Announce(report("t", 1, 1))
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
	a.Announce(report("t", 1, 2))
	is.True(!cold())
	a.RecordUnreachable(false)
	at, _ := a.Target()
	is.True(!at.Accepts)
	a.Announce(report("t", 1, 3))
	at, _ = a.Target()
	is.True(at.Accepts)
}
