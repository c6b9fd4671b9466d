package fleetdaemon_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/relay"
)

// Guards against a target that is granted no keys over HTTP, and against
// announcements that are accepted although they are malformed or from a target
// of another service.
func TestAnnounceOverHTTP(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.apply(document(1))
	peer, announce, target := freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, fleetdaemon.Config{
		Cluster: "test", Peer: peer, TrustNetwork: true, Seeds: []string{c.control.cfg.Peer}, StopTimeout: time.Second, Lease: c.lease,
		Sidecar: &fleetdaemon.Sidecar{DataCentre: "a", Caller: freeAddress(t), Gate: freeAddress(t), Announce: announce,
			Target: target, Service: "keyed", HeaderNames: relay.DefaultHeaderNames},
	})
	post := func(body []byte) (int, fleetdaemon.AnnounceReply) {
		resp, err := http.Post("http://"+announce+fleetdaemon.PathAnnounce, "application/json", bytes.NewReader(body))
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		var reply fleetdaemon.AnnounceReply
		_ = json.NewDecoder(resp.Body).Decode(&reply) // empty if it was refused
		return resp.StatusCode, reply
	}
	status, _ := post([]byte("{"))
	is.Equal(status, http.StatusBadRequest)
	a := fleetdaemon.Announcement{ID: "t", Incarnation: 1, Service: "other", Address: target, Slots: 4}
	send := func() (int, fleetdaemon.AnnounceReply) {
		a.Sequence++
		body, err := json.Marshal(a)
		is.NoErr(err)
		return post(body)
	}
	status, _ = send()
	is.Equal(status, http.StatusBadRequest)
	a.Service = "keyed"
	await(t, "a grant of all keys", func() bool {
		status, reply := send()
		is.Equal(status, http.StatusOK)
		keys := 0
		for _, r := range reply.Holds {
			keys += int(r.To) - int(r.From) + 1
		}
		a.Holds = reply.Holds
		return keys == 1<<16 && reply.HoldMs > 0
	})
}
