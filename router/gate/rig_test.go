package gate_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member"
	"bramleyquay.example/router/member/memberfake"
)

var quietly = logging.ForComponent(logging.New(io.Discard, "error", false), "test")

// noCopies is a gate.PeerClient that reaches nobody.
type noCopies struct{}

// Call implements gate.PeerClient.
func (noCopies) Call(context.Context, string, string, any, any) error {
	return errors.New("no peer is reachable")
}

var unitK = shard.Unit{Keyspace: "keyed"}

// rig is a gate with a target of a few slots, each of which a request holds
// until the test lets it go.
type rig struct {
	gate    *gate.Gate
	members *memberfake.Agent
	seen    atomic.Int64
	open    chan struct{}
}

// newRig starts a gate that owns the only unit of the service keyed.
func newRig(t *testing.T, slots int) *rig {
	t.Helper()
	r := &rig{open: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		r.seen.Add(1)
		select {
		case <-r.open:
		case <-q.Context().Done():
		}
	}))
	r.members = memberfake.New("self", r.view(t, 1, table.Entry{Unit: unitK, Owner: "self", Epoch: 3, Phase: table.Serving}))
	r.gate = gate.New(gate.Config{Self: "self", DataCentre: "a", MaxPaymentBody: 1 << 20, MaxRecordedBody: 1 << 16}, r.members, noCopies{}, quietly)
	if problem := r.gate.Announce(gate.Announcement{Service: "keyed", Address: target.Listener.Addr().String(), Slots: slots, Incarnation: 5}); problem != "" {
		t.Fatal(problem)
	}
	r.gate.ApplyView(r.members.View())
	ctx, cancel := context.WithCancel(context.Background())
	go r.gate.Run(ctx)
	t.Cleanup(func() {
		r.letGo()
		cancel()
		target.Close()
	})
	return r
}

func (r *rig) view(t *testing.T, rev uint64, e table.Entry) *member.View {
	t.Helper()
	doc := &config.Document{Services: []config.Service{{Name: "keyed", Keyed: true, ShardCount: 1, Ramp: config.Ramp{StartSlots: 100}}}}
	v, err := memberfake.View(rev, doc, []table.Entry{e})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// letGo lets every request at the target end.
func (r *rig) letGo() {
	select {
	case <-r.open:
	default:
		close(r.open)
	}
}

// send runs a request in the background and passes its refusal on.
func (r *rig) send(ctx context.Context, timeout time.Duration) chan *outcome.Refusal {
	done := make(chan *outcome.Refusal, 1)
	go func() {
		resp, refusal := r.gate.Do(ctx, &call.Call{
			Service: "keyed", Keyspace: "keyed", Key: "k", Hash: 1, Method: http.MethodPost, Path: "/",
			IsBuffered: true, Deadline: time.Now().Add(timeout),
		})
		if refusal == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		done <- refusal
	}()
	return done
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen within 5 s", what)
		}
	}
}
