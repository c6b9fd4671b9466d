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
	secret  = []byte("0123456789abcdef")
	quietly = logging.ForComponent(logging.New(io.Discard, "error", false), "test")
)

// document has one service of each kind. All have one shard.
func document() *config.Document {
	fast := config.Ramp{StartSlots: 8}
	return &config.Document{DataCentres: []config.DataCentre{{Name: "a"}, {Name: "b"}}, Services: []config.Service{
		{Name: "keyed", Keyed: true, ShardCount: 1, Ramp: fast, Rules: []config.KeyRule{{Name: "k", Prefix: "k", ShardCount: 1}}},
		{Name: "plain", Ramp: fast},
		{Name: "pay", Payments: true, ShardCount: 1, Ramp: fast},
		{Name: "seats", Internal: true, Ramp: fast},
	}}
}

// rig is one gate with a target and two ingresses: one in the gate's process,
// one that reaches it over the peer listener. The copy of the payment records
// is a member in the other data centre.
type rig struct {
	gate     *gate.Gate
	members  *memberfake.Agent
	internal http.Handler
	// local and remote are the callers' listeners of both ingresses.
	local, remote *httptest.Server
}

// newRig starts a rig whose target serves a service at addr.
func newRig(t *testing.T, service, addr string) *rig {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r := &rig{}
	rpc := peer.NewServer()
	serveCopies(rpc, newCopies())
	peers, err := peer.Listen("127.0.0.1:0", secret, nil, quietly, func(c net.Conn) { rpc.ServeConn(ctx, c) })
	is.NoErr(err)
	go peers.Serve(ctx)
	owner := func(space string) table.Entry {
		return table.Entry{Unit: unit(space), Owner: "owner", Epoch: 3, Phase: table.Serving,
			Copies: []table.MemberID{"copy"}, Sources: []table.MemberID{"copy"}}
	}
	view, err := memberfake.View(1, document(), []table.Entry{owner("keyed:k"), owner("pay")},
		control.Member{ID: "owner", DataCentre: "a", PeerAddr: peers.Addr().String(), State: control.MemberActive, Target: &control.Target{Service: service, Slots: 8}},
		control.Member{ID: "copy", DataCentre: "b", PeerAddr: peers.Addr().String(), State: control.MemberActive})
	is.NoErr(err)
	r.members = memberfake.New("owner", view)
	dialer := &peer.Dialer{Secret: secret}
	client := peer.NewClient(dialer, nil)
	t.Cleanup(client.Close)
	r.gate = gate.New(gate.Config{Self: "owner", DataCentre: "a", MaxPaymentBody: gate.DefaultMaxPaymentBody, MaxRecordedBody: gate.DefaultMaxRecordedBody},
		r.members, client, quietly)
	is.Equal(r.gate.Announce(gate.Announcement{Service: service, Address: addr, Slots: 8, Incarnation: 5}), "")
	r.gate.ApplyView(view)
	go r.gate.Run(ctx)
	server := &http.Server{Handler: r.gate}
	go func() { _ = server.Serve(peers.HTTP()) }()
	t.Cleanup(func() { _ = server.Close() })
	near := ingress.New(ingress.Config{Self: "owner", DataCentre: "a", MaxWaiting: 8}, r.members, r.gate, nil, quietly)
	far := ingress.New(ingress.Config{Self: "far", DataCentre: "a", MaxWaiting: 8}, memberfake.New("far", view), nil, ingress.NewForwarder(dialer), quietly)
	r.internal = near.Internal()
	r.local, r.remote = serve(t, near), serve(t, far)
	return r
}

// serve starts a listener with the write timeout that handlers rely on.
func serve(t *testing.T, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.WriteTimeout = 30 * time.Second
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// both runs a test through the ingress at the gate and through the remote one.
func (r *rig) both(t *testing.T, f func(t *testing.T, base string)) {
	t.Run("local", func(t *testing.T) { f(t, r.local.URL) })
	t.Run("remote", func(t *testing.T) { f(t, r.remote.URL) })
}

// do sends a request and returns the answer with its body read.
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
