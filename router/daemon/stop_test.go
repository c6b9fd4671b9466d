package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/bqctl/client"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/settings"
)

// stopTimeout is the time in which the processes of these tests must stop.
const stopTimeout = 3 * time.Second

// stopDocument has a service of each kind. Requests may take longer than a stop.
const stopDocument = `{"dataCentres": [{"name": "a"}, {"name": "b"}],
	"automation": {"rebalance": true, "hotKeys": true, "failover": true, "replicaReplacement": true, "ejection": true, "repeats": true},
	"services": [
		{"name": "plain", "dataCentres": ["a", "b"], "limits": {"timeoutMs": 20000, "maxTimeoutMs": 20000}, "ramp": {"startSlots": 64}},
		{"name": "keyed", "dataCentres": ["a", "b"], "keyed": true, "shards": 2, "limits": {"timeoutMs": 20000, "maxTimeoutMs": 20000}, "ramp": {"startSlots": 64}},
		{"name": "pay", "dataCentres": ["a", "b"], "payments": true, "shards": 2, "limits": {"timeoutMs": 20000, "maxTimeoutMs": 20000}, "ramp": {"startSlots": 64}}
	]}`

// runningDaemon is a process of a test. ended gets the result of Run.
type runningDaemon struct {
	*Daemon
	stop  context.CancelFunc
	ended chan error
}

func startDaemon(t *testing.T, id, dataCentre, control, peerAddr string) *runningDaemon {
	t.Helper()
	cfg := &settings.Settings{
		ID: id, DataCentre: dataCentre, Cluster: "c", Secret: settings.NewSecret("sesame-open-0123456789"), ShutdownTimeoutMs: stopTimeout.Milliseconds(),
		Listen:  settings.Listen{Caller: "127.0.0.1:0", Peer: peerAddr, Platform: "127.0.0.1:0", Operator: "127.0.0.1:0"},
		Control: settings.Control{Peers: []settings.ControlPeer{{ID: "control", Address: control}}},
	}
	if id == "control" {
		cfg.Control.Replica, cfg.Control.Bootstrap, cfg.Control.DataFolder = true, true, t.TempDir()
	}
	d, err := New(cfg, logging.New(io.Discard, "error", false), "test")
	if err != nil {
		t.Fatal(err)
	}
	stopCtx, stop := context.WithCancel(context.Background())
	kill, cancel := context.WithCancel(context.Background())
	r := &runningDaemon{Daemon: d, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- d.Run(stopCtx, kill) }()
	t.Cleanup(func() { stop(); cancel() })
	return r
}

func (r *runningDaemon) address(listener string) string { return r.listeners[listener].Addr().String() }

// announceTarget starts a target that answers at once, or never where the path contains
// "slow", and announces it to the process. ran reports whether it got a path.
func (r *runningDaemon) announceTarget(t *testing.T, service string) (ran func(path string) bool) {
	t.Helper()
	var paths sync.Map
	finish := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		paths.Store(q.URL.Path, true)
		if strings.Contains(q.URL.Path, "slow") {
			select {
			case <-finish:
			case <-q.Context().Done():
			}
		}
	}))
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":64,"incarnation":5}`, service, target.Listener.Addr())
	go func() {
		for {
			resp, err := http.Post("http://"+r.address("platform")+"/announce", "application/json", strings.NewReader(body))
			if err == nil {
				_ = resp.Body.Close() // the answer is not needed
			}
			select {
			case <-finish:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { close(finish); target.Close() })
	return func(path string) bool { _, ok := paths.Load(path); return ok }
}

// startStopCluster starts a control process and two processes with targets of a service,
// and waits until both serve callers.
func startStopCluster(t *testing.T, service string) (p [2]*runningDaemon, ran func(path string) bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control := l.Addr().String()
	_ = l.Close() // the process listens there
	c := startDaemon(t, "control", "a", control, control)
	p = [2]*runningDaemon{startDaemon(t, "one", "a", control, "127.0.0.1:0"), startDaemon(t, "two", "b", control, "127.0.0.1:0")}
	first, second := p[0].announceTarget(t, service), p[1].announceTarget(t, service)
	remote, err := client.New(client.Config{Servers: []string{c.address("operator")}, Secret: c.cfg.Secret})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reply, err := remote.Apply(ctx, operator.ApplyRequest{ChangeID: "1", Author: "test", Text: stopDocument})
	if err != nil || reply.Revision == 0 {
		t.Fatal(reply.Findings, err)
	}
	for i, d := range p {
		for n := 0; ; n++ {
			status, _, err := d.request(service, fmt.Sprintf("ready-%d-%d", i, n))
			if err == nil && status == http.StatusOK && len(d.agent.View().Directory.Service(service)) == 2 {
				break
			}
			if ctx.Err() != nil {
				t.Fatalf("not served: status %d, %v", status, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return p, func(path string) bool { return first(path) || second(path) }
}

// request sends a request that is not idempotent on a connection of its own.
func (r *runningDaemon) request(service, name string) (status int, outcome string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.address("caller")+"/"+service+"/"+name, strings.NewReader("b"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set(call.HeaderKey, "k")
	req.Header.Set(call.HeaderIdempotencyKey, name)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // the read has returned all errors
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(call.HeaderOutcome), err
}

// Guards against requests that a stopping process takes and passes on, and that end without
// an answer when its time is over, and against an answer that says of one that has reached
// a target that it has not run.
func TestRequestsInStopAreAnswered(t *testing.T) {
	for _, service := range []string{"plain", "keyed", "pay"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			p, ran := startStopCluster(t, service)
			p[0].stop()
			begin := time.Now()
			var callers sync.WaitGroup
			var mu sync.Mutex
			answered, cut := 0, 0
			for i := 0; time.Since(begin) < stopTimeout; i++ {
				callers.Go(func() {
					name, sent := fmt.Sprintf("slow-%d", i), time.Since(begin)
					status, outcome, err := p[0].request(service, name)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err == nil && (outcome != "unknown" && outcome != "not-run" || outcome == "not-run" && ran("/"+name)):
						t.Errorf("%s, sent after %v: status %d, outcome %q, ran %t", name, sent, status, outcome, ran("/"+name))
					case err == nil:
						answered++
					case ran("/" + name):
						cut++
						t.Logf("%s, sent after %v, ended after %v: %v", name, sent, time.Since(begin), err)
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
			select {
			case <-p[0].ended:
			case <-time.After(2 * stopTimeout):
				t.Error("the process does not stop")
			}
			// The end of the process closes its connections.
			_ = p[0].peers.Close()
			for _, s := range p[0].servers {
				_ = s.Close()
			}
			callers.Wait()
			t.Logf("answered %d, cut %d", answered, cut)
			is.Equal(cut, 0)
			is.True(answered > 0)
		})
	}
}
