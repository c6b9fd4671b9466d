package fleetdaemon_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/router/fleetagent"
)

// Guards against new requests at a target whose answers say that it leaves, while its
// announcements do not say so yet.
func TestTargetThatLeavesByAnswer(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	plain[0].behave = func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Leaving", "1")
		return false
	}
	told := ""
	await(t, "an answer of the leaving target", func() bool {
		told += "t"
		status, _, header := plain[0].call("GET", "/safe/a", told, nil)
		return status == 200 && header.Get("X-Leaving") != ""
	})
	for i := range 40 {
		id := fmt.Sprint("after", i)
		status, _, _ := plain[i%2].call("GET", "/safe/a", id, nil)
		is.Equal(status, 200)
		is.Equal(plain[0].count(id), 0)
	}
}

// Guards against new requests at a target that leaves after its process was restarted,
// when a late announcement says that it is ready, and against more requests at once
// than a limit that it named before.
func TestNoticesOutlastRestartOfProcess(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	leaving, limited := plain[0], plain[1]
	leaving.behave = func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Leaving", "1")
		return false
	}
	limited.behave = func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Limit", "1")
		return false
	}
	status, _, _ := leaving.call("GET", "/safe/a", "told", nil)
	is.Equal(status, 200)
	status, _, _ = limited.call("GET", "/safe/a", "limit", nil)
	is.Equal(status, 200)
	for _, p := range plain {
		p.restartProcess(t)
	}
	await(t, "the notices at the restarted processes", func() bool {
		l, known := leaving.Agent().Target()
		n, ok := limited.Agent().Target()
		return known && ok && !l.Accepts && n.EarlierLimit == 1
	})
	is.Equal(leaving.count("told"), 1)
}

// Guards against requests to a target whose departure was acknowledged and is forgotten when
// all processes restart: a late announcement is the first that they hear of it.
func TestDepartureOutlastsRestartOfAll(t *testing.T) {
	is := is.New(t)
	_, plain, c := startServingCluster(t)
	leaving := plain[0]
	leaving.mu.Lock()
	leaving.silent = true
	late := fleetagent.Announcement{
		ID: leaving.name, Incarnation: leaving.incarnation, Service: "plain", Address: leaving.cfg.Sidecar.Target, Slots: 4, Sequence: leaving.sequence + 1,
	}
	leaving.mu.Unlock()
	is.NoErr(leaving.Agent().TargetLeaving(t.Context(), fleet.Notice{Target: late.ID, Incarnation: late.Incarnation}))
	c.control.end(t)
	for _, p := range plain {
		p.end(t)
	}
	c.control = start(t, c.control.cfg)
	for _, p := range plain {
		p.startAgain(t)
	}
	for i := range 40 {
		id := fmt.Sprint("after", i)
		await(t, "an answer", func() bool {
			_, result := leaving.Agent().Announce(late)
			is.Equal(result, fleetagent.AnnounceAccepted)
			late.Sequence++
			status, _, _ := plain[i%2].call("GET", "/safe/a", id, nil)
			return status == 200
		})
		is.Equal(leaving.count(id), 0)
	}
	at, known := leaving.Agent().Target()
	is.True(known && !at.Accepts)
	// A later incarnation under the same id is used at once.
	late.Incarnation, late.Sequence = late.Incarnation+1, 1
	leaving.Agent().Announce(late)
	at, _ = leaving.Agent().Target()
	is.True(at.Accepts)
}
