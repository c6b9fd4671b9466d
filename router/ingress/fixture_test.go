package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/ingress"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member/memberfake"
	"bramleyquay.example/router/peer"
)

var (
	secret     = []byte("0123456789abcdef")
	discardLog = logging.ForComponent(logging.New(io.Discard, "error", false), "test")
)

// document returns a configuration with one service of each kind. The sharded ones
// have one shard.
func document() *config.Document {
	fast := config.Ramp{StartSlots: 8}
	return &config.Document{DataCentres: []config.DataCentre{{Name: "a"}, {Name: "b"}}, Services: []config.Service{
		{Name: "keyed", Keyed: true, ShardCount: 1, Ramp: fast, Rules: []config.KeyRule{{Name: "k", Prefix: "k", ShardCount: 1}}},
		{Name: "plain", Ramp: fast},
		{Name: "pay", Payments: true, ShardCount: 1, Ramp: fast},
		{Name: "seats", Internal: true, Ramp: fast},
	}}
}

// fixture is a gate with a target and two ingresses: one in the gate's process and
// one that forwards to it over the peer listener. A member in the other data centre
// is the copy of the payments' idempotency records.
type fixture struct {
	gate     *gate.Gate
	members  *memberfake.Agent
	internal http.Handler
	// local and remote are the listeners of the two ingresses for callers.
	local, remote *httptest.Server
}

// newFixture starts a fixture. Its target is the one at addr, of the named service.
func newFixture(t *testing.T, service, addr string) *fixture {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fx := &fixture{}
	rpc := peer.NewServer()
	serveCopy(rpc, newSyncedCopy())
	peers, err := peer.Listen("127.0.0.1:0", secret, nil, discardLog, func(c net.Conn) { rpc.ServeConn(ctx, c) })
	is.NoErr(err)
	go peers.Serve(ctx)
	owner := func(keyspace string) table.Entry {
		return table.Entry{Unit: unit(keyspace), Owner: "owner", Epoch: 3, Phase: table.Serving,
			Copies: []table.MemberID{"copy"}, Sources: []table.MemberID{"copy"}}
	}
	view, err := memberfake.View(1, document(), []table.Entry{owner("keyed:k"), owner("pay")},
		control.Member{ID: "owner", DataCentre: "a", PeerAddr: peers.Addr().String(), State: control.MemberActive, Target: &control.Target{Service: service, Slots: 8}},
		control.Member{ID: "copy", DataCentre: "b", PeerAddr: peers.Addr().String(), State: control.MemberActive})
	is.NoErr(err)
	fx.members = memberfake.New("owner", view)
	dialer := &peer.Dialer{Secret: secret}
	client := peer.NewClient(dialer, nil)
	t.Cleanup(client.Close)
	fx.gate = gate.New(gate.Config{Self: "owner", DataCentre: "a", MaxPaymentBody: gate.DefaultMaxPaymentBody, MaxRecordedBody: gate.DefaultMaxRecordedBody},
		fx.members, client, discardLog)
	is.Equal(fx.gate.Announce(gate.Announcement{Service: service, Address: addr, Slots: 8, Incarnation: 5}), "")
	fx.gate.ApplyView(view)
	go fx.gate.Run(ctx)
	server := &http.Server{Handler: fx.gate}
	go func() { _ = server.Serve(peers.HTTP()) }()
	t.Cleanup(func() { _ = server.Close() })
	local := ingress.New(ingress.Config{Self: "owner", DataCentre: "a", MaxWaiting: 8}, fx.members, fx.gate, nil, discardLog)
	remote := ingress.New(ingress.Config{Self: "far", DataCentre: "a", MaxWaiting: 8}, memberfake.New("far", view), nil, ingress.NewForwarder(dialer), discardLog)
	fx.internal = local.Internal()
	fx.local, fx.remote = serve(t, local), serve(t, remote)
	return fx
}

// serve starts a listener with a write timeout, as call.Receive requires: net/http
// then sets the write deadline anew for each request.
func serve(t *testing.T, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.WriteTimeout = 30 * time.Second
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// throughBoth runs a test through the local and through the remote ingress.
func (fx *fixture) throughBoth(t *testing.T, f func(t *testing.T, base string)) {
	t.Run("local", func(t *testing.T) { f(t, fx.local.URL) })
	t.Run("remote", func(t *testing.T) { f(t, fx.remote.URL) })
}

// do sends a request and returns the answer and its body. header lists names and
// values in turn.
func do(t *testing.T, method, url string, body []byte, header ...string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

func outcomeOf(resp *http.Response) string { return resp.Header.Get(call.HeaderOutcome) }
