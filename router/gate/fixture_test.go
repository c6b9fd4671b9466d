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

var discardLog = logging.ForComponent(logging.New(io.Discard, "error", false), "test")

// unreachablePeers is a gate.PeerClient whose calls all fail.
type unreachablePeers struct{}

// Call implements gate.PeerClient.
func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return errors.New("no peer is reachable")
}

var keyedUnit = shard.Unit{Keyspace: "keyed"}

// fixture is a gate with a target. A request occupies its slot until the test
// calls finishRequests or the request is cancelled.
type fixture struct {
	gate     *gate.Gate
	members  *memberfake.Agent
	received atomic.Int64
	finish   chan struct{}
}

// newFixture starts a gate that owns the only unit of the service "keyed".
func newFixture(t *testing.T, slots int) *fixture {
	t.Helper()
	fx := &fixture{finish: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		fx.received.Add(1)
		select {
		case <-fx.finish:
		case <-q.Context().Done():
		}
	}))
	fx.members = memberfake.New("self", fx.view(t, 1, table.Entry{Unit: keyedUnit, Owner: "self", Epoch: 3, Phase: table.Serving}))
	fx.gate = gate.New(gate.Config{Self: "self", DataCentre: "a", MaxPaymentBody: 1 << 20, MaxRecordedBody: 1 << 16}, fx.members, unreachablePeers{}, discardLog)
	if problem := fx.gate.Announce(gate.Announcement{Service: "keyed", Address: target.Listener.Addr().String(), Slots: slots, Incarnation: 5}); problem != "" {
		t.Fatal(problem)
	}
	fx.gate.ApplyView(fx.members.View())
	ctx, cancel := context.WithCancel(context.Background())
	go fx.gate.Run(ctx)
	t.Cleanup(func() {
		fx.finishRequests()
		cancel()
		target.Close()
	})
	return fx
}

func (fx *fixture) view(t *testing.T, rev uint64, e table.Entry) *member.View {
	t.Helper()
	doc := &config.Document{Services: []config.Service{{Name: "keyed", Keyed: true, ShardCount: 1, Ramp: config.Ramp{StartSlots: 100}}}}
	v, err := memberfake.View(rev, doc, []table.Entry{e})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// finishRequests makes the target answer all requests from now on.
func (fx *fixture) finishRequests() {
	select {
	case <-fx.finish:
	default:
		close(fx.finish)
	}
}

// send runs a request in the background. Its refusal, or nil, is sent to the
// returned channel.
func (fx *fixture) send(ctx context.Context, timeout time.Duration) chan *outcome.Refusal {
	done := make(chan *outcome.Refusal, 1)
	go func() {
		resp, refusal := fx.gate.Do(ctx, &call.Call{
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

// await waits up to 5 s until a condition holds, and fails the test otherwise.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen within 5 s", what)
		}
	}
}
