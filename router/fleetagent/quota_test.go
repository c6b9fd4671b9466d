package fleetagent_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/peer"
)

// startAgents starts a control group of one replica with a document, and agents.
func startAgents(t *testing.T, d *routes.Document, n int) (agents []*fleetagent.Agent) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	logs := logging.New(io.Discard, "error", false)
	control, err := fleetdaemon.New(fleetdaemon.Config{
		Cluster: "test", Peer: address, TrustNetwork: true, Seeds: []string{address}, StopTimeout: time.Second,
		Lease:   fleetdaemon.LeaseConfig{AnnounceInterval: 100 * time.Millisecond, MaxHold: 10 * time.Second},
		Control: &fleetdaemon.ControlConfig{DataDir: t.TempDir(), InitialVoters: []string{address}},
	}, logs)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = control.Run(ctx) // ends with the test
	}()
	t.Cleanup(func() { cancel(); <-done })
	for i := range n {
		client := peer.NewClient(&peer.Dialer{}, nil)
		a := fleetagent.New(fleetagent.Config{
			Process: string(rune('a' + i)), Service: "s", Address: "x", AnnounceInterval: time.Hour, Grant: grant.DefaultConfig(10*time.Second, time.Hour),
		}, leaderclient.New(client, []string{address}), logging.ForComponent(logs, "member"))
		go a.Run(ctx)
		agents = append(agents, a)
	}
	callCtx, cancelCall := context.WithTimeout(ctx, 30*time.Second)
	defer cancelCall()
	change := fleetnode.ProposeRequest{ApplyDocument: &fleet.ApplyDocument{ChangeID: "1", Document: d}}
	if err := control.Leaders().CallLeader(callCtx, fleetnode.MethodPropose, change, nil); err != nil {
		t.Fatal(err)
	}
	for _, a := range agents {
		for a.View().Version() == 0 {
			if callCtx.Err() != nil {
				t.Fatal("no document")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return agents
}

// Guards against a first request that is refused because its process has no allotment
// yet, against processes that together exceed a limit, and against requests of a limit
// that is used up which are admitted or get no time to return.
func TestQuotaOfSeveralProcesses(t *testing.T) {
	is := is.New(t)
	agents := startAgents(t, &routes.Document{Version: 1, Accounts: []routes.Account{{Name: "acme", Rate: 5, Burst: 8}, {Name: "free"}}}, 3)
	time.Sleep(time.Second) // the processes are registered
	ctx, start, admitted := context.Background(), time.Now(), 0
	for _, a := range agents {
		ok, _ := a.TakeQuota(ctx, "acme", 150*time.Millisecond)
		is.True(ok)
		admitted++
		ok, _ = a.TakeQuota(ctx, "free", 0)
		is.True(ok)
	}
	refused := 0
	for time.Since(start) < 2*time.Second {
		for _, a := range agents {
			ok, after := a.TakeQuota(ctx, "acme", 150*time.Millisecond)
			if ok {
				admitted++
				continue
			}
			refused++
			is.True(after > 0 && after <= 10*time.Second)
		}
		time.Sleep(5 * time.Millisecond)
	}
	most := 5*time.Since(start).Seconds() + 8
	t.Logf("%d admitted, at most %.1f possible, %d refused", admitted, most, refused)
	is.True(float64(admitted) <= most)
	is.True(float64(admitted) >= most/2)
	is.True(refused > 0)
}

// Guards against requests that are admitted without an allotment while control cannot be
// reached, and that wait longer than they may.
func TestQuotaWithoutControl(t *testing.T) {
	is := is.New(t)
	agents := startAgents(t, &routes.Document{Version: 1, Accounts: []routes.Account{{Name: "acme", Rate: 5}}}, 1)
	cut := fleetagent.New(fleetagent.Config{Process: "z", Service: "s", AnnounceInterval: time.Hour}, leaderclient.New(nil, nil),
		logging.ForComponent(logging.New(io.Discard, "error", false), "member"))
	cut.SetViewForTest(agents[0].View())
	start := time.Now()
	ok, after := cut.TakeQuota(context.Background(), "acme", 100*time.Millisecond)
	is.True(!ok)
	is.True(after > 0)
	is.True(time.Since(start) >= 100*time.Millisecond && time.Since(start) < 5*time.Second)
}
