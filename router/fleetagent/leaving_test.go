package fleetagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
)

// Guards against a target that has announced that it stops and gets requests again: its
// process was just restarted and does not know it yet, and an earlier announcement of the
// target arrives after the notice.
func TestNoticeBeforeFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	born := time.Now().Add(-time.Minute).UnixMilli()
	a.TargetLeaving(fleet.Notice{Target: "t"})
	_, result := a.Announce(announcement("t", born, 7))
	is.Equal(result, AnnounceAccepted)
	at, known := a.Target()
	is.True(known && !at.Accepts)
	// A later start under the same id is not meant.
	a.Announce(announcement("t", time.Now().Add(time.Minute).UnixMilli(), 1))
	at, _ = a.Target()
	is.True(at.Accepts)
}

// Guards against a notice of an earlier incarnation that stops the later one under the
// same id, because a frozen process finds both in its sockets.
func TestNoticeOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	a.Announce(announcement("t", 20, 1))
	a.TargetLeaving(fleet.Notice{Target: "t", Incarnation: 10})
	at, _ := a.Target()
	is.True(at.Accepts)
	a.TargetLeaving(fleet.Notice{Target: "t", Incarnation: 20})
	at, _ = a.Target()
	is.True(!at.Accepts)
	// Without an incarnation and with nobody who waits for the answer, it may be old.
	born := time.Now().UnixMilli()
	a.Announce(announcement("t", born, 1))
	a.TargetLeaving(fleet.Notice{Target: "t", Abandoned: true})
	at, _ = a.Target()
	is.True(at.Accepts)
	a.TargetLeaving(fleet.Notice{Target: "t"})
	at, _ = a.Target()
	is.True(!at.Accepts)
}
