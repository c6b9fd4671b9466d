package fleetagent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/leaderclient"
)

// Guards against a target that has announced that it stops and gets requests again: its
// process was just restarted and does not know it yet, and an earlier announcement of the
// target arrives after the notice.
func TestNoticeBeforeFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	born := time.Now().Add(-time.Minute).UnixMilli()
	a.noteLeaving(fleet.Notice{Target: "t"})
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
	a.noteLeaving(fleet.Notice{Target: "t", Incarnation: 10})
	at, _ := a.Target()
	is.True(at.Accepts)
	a.noteLeaving(fleet.Notice{Target: "t", Incarnation: 20})
	at, _ = a.Target()
	is.True(!at.Accepts)
	// Without an incarnation and with nobody who waits for the answer, it may be old.
	born := time.Now().UnixMilli()
	a.Announce(announcement("t", born, 1))
	a.noteLeaving(fleet.Notice{Target: "t", Abandoned: true})
	at, _ = a.Target()
	is.True(at.Accepts)
	a.noteLeaving(fleet.Notice{Target: "t"})
	at, _ = a.Target()
	is.True(!at.Accepts)
}

// controlGroup records departures and answers renewals with them, like the control group.
type controlGroup struct {
	mu    sync.Mutex
	state *fleet.State
	index uint64
}

func (c *controlGroup) Call(_ context.Context, _, method string, params, result any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch method {
	case fleetnode.MethodRenew:
		r := params.(fleet.Renewal)
		if r.NeedsDepartures {
			result.(*fleet.RenewalReply).Departures = c.state.DeparturesOf(r.Member.Process)
		}
	case fleetnode.MethodPropose:
		data, err := fleet.EncodeCommand(fleet.Command{RecordDeparture: params.(fleetnode.ProposeRequest).RecordDeparture})
		if err != nil {
			return err
		}
		c.index++
		_, err = c.state.Apply(c.index, data)
		return err
	}
	return nil
}

func (c *controlGroup) Drop(string) {}

func (c *controlGroup) departures() []fleet.Departure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.DeparturesOf("p")
}

// Guards against a departure that is forgotten when the process restarts, in whichever way
// it was said and whatever arrives first, against a late message of an earlier incarnation
// that stops the later one, and against a later incarnation that is not used at once.
func TestDepartureOutlastsRestart(t *testing.T) {
	for name, depart := range map[string]func(a *Agent) error{
		"notice":                     func(a *Agent) error { return a.TargetLeaving(t.Context(), fleet.Notice{Target: "t", Incarnation: 10}) },
		"notice without incarnation": func(a *Agent) error { return a.TargetLeaving(t.Context(), fleet.Notice{Target: "t"}) },
		"announcement":               func(a *Agent) error { return a.RecordDraining(t.Context(), "t", 10) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			control := &controlGroup{state: fleet.NewState()}
			before := newTestAgent(leaderclient.New(control, []string{"c"}))
			before.renew(t.Context())
			before.Announce(announcement("t", 10, 5))
			at, _ := before.Target()
			is.True(at.Accepts)
			is.NoErr(depart(before))
			is.Equal(control.departures(), []fleet.Departure{{Target: "t", Last: 10}})

			after := newTestAgent(leaderclient.New(control, []string{"c"}))
			after.Announce(announcement("t", 10, 4)) // late
			at, known := after.Target()
			is.True(known && !at.Accepts) // control has not answered yet
			after.renew(t.Context())
			at, _ = after.Target()
			is.True(!at.Accepts)
			after.Announce(announcement("t", 20, 1))
			at, _ = after.Target()
			is.True(at.Accepts)
			after.Announce(announcement("t", 10, 6))
			is.NoErr(after.TargetLeaving(t.Context(), fleet.Notice{Target: "t", Incarnation: 10}))
			is.NoErr(after.RecordDraining(t.Context(), "t", 10))
			at, _ = after.Target()
			is.True(at.Accepts)
		})
	}
}

// Guards against a departure that was said in an answer and is forgotten when the process
// and the leader restart.
func TestDepartureInAnswerIsRecorded(t *testing.T) {
	is := is.New(t)
	control := &controlGroup{state: fleet.NewState()}
	a := newTestAgent(leaderclient.New(control, []string{"c"}))
	a.Announce(announcement("t", 10, 1))
	a.RecordLeaving(a.issuer.Holder())
	a.renew(t.Context())
	for end := time.Now().Add(10 * time.Second); len(control.departures()) == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.Equal(control.departures(), []fleet.Departure{{Target: "t", Last: 10}})
}
