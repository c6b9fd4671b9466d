package fleetdaemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/relay"
)

// waitTimeout is the longest wait for a condition in these tests. Only a test
// that fails waits that long.
const waitTimeout = 60 * time.Second

var headerNames = relay.HeaderNames{RequestID: "X-Id", DeadlineMs: "X-Deadline-Ms", Key: "X-Key", Target: "X-Target",
	CallerService: "X-Caller", NotRun: "X-Not-Run", Signature: "X-Signed", Load: "X-Load", Limit: "X-Limit", Leaving: "X-Leaving",
	Authorization: "Authorization", AuthorizationScheme: "Key", Account: "X-Account"}

// loopback is an address of this test process alone. At 127.0.0.1 a port that was found
// free could become the local port of another test's connection before it is used, and
// the process under test failed with "address already in use".
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// process is one running daemon.
type process struct {
	*fleetdaemon.Daemon
	cfg  fleetdaemon.Config
	stop context.CancelFunc
	done chan error
}

func start(t *testing.T, cfg fleetdaemon.Config) *process {
	t.Helper()
	return startLogging(t, cfg, logging.New(io.Discard, "error", false))
}

func startLogging(t *testing.T, cfg fleetdaemon.Config, logs *log.Logger) *process {
	t.Helper()
	d, err := fleetdaemon.New(cfg, logs)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{Daemon: d, cfg: cfg, stop: stop, done: make(chan error, 1)}
	go func() { p.done <- d.Run(ctx) }()
	t.Cleanup(stop)
	return p
}

// await waits until condition returns true and fails the test after waitTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// cluster is a control group of one replica and sidecar processes with fake
// targets.
type cluster struct {
	t       *testing.T
	control *process
	lease   fleetdaemon.LeaseConfig
	// memory is the memory limit of the sidecar processes, in bytes. Zero sets none.
	memory int64
	// stopTimeout is the grace time of the sidecar processes.
	stopTimeout time.Duration
	// newLogs returns the logger of a process.
	newLogs func() *log.Logger
}

func newCluster(t *testing.T) *cluster {
	return newLoggingCluster(t, func() *log.Logger { return logging.New(io.Discard, "error", false) })
}

func newLoggingCluster(t *testing.T, newLogs func() *log.Logger) *cluster {
	c := &cluster{t: t, stopTimeout: 8 * time.Second, newLogs: newLogs, lease: fleetdaemon.LeaseConfig{AnnounceInterval: 100 * time.Millisecond, MaxHold: 10 * time.Second}}
	peer := freeAddress(t)
	c.control = startLogging(t, fleetdaemon.Config{
		Cluster: "test", Peer: peer, TrustNetwork: true, Seeds: []string{peer}, StopTimeout: time.Second, Lease: c.lease,
		Control: &fleetdaemon.ControlConfig{DataDir: t.TempDir(), InitialVoters: []string{peer}},
	}, newLogs())
	return c
}

func (c *cluster) apply(d *routes.Document) fleet.Result {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var current fleetnode.ReadDocumentReply
	if err := c.control.Leaders().CallLeader(ctx, fleetnode.MethodRead, fleetnode.ReadDocumentRequest{}, &current); err != nil {
		c.t.Fatal(err)
	}
	var result fleet.Result
	change := &fleet.ApplyDocument{ChangeID: strconv.FormatUint(d.Version, 10), BaseVersion: current.Version, Document: d}
	if err := c.control.Leaders().CallLeader(ctx, fleetnode.MethodPropose, fleetnode.ProposeRequest{ApplyDocument: change}, &result); err != nil {
		c.t.Fatal(err)
	}
	return result
}

// target is a fake target and its sidecar process. It serves the keys of its
// grants.
type target struct {
	*process
	name   string
	server *httptest.Server
	behave func(w http.ResponseWriter, r *http.Request) bool // returns true if it answered the request

	mu       sync.Mutex
	runs     map[string]int
	holds    []ranges.Range
	released []ranges.Range
	sequence uint64
	draining bool
	silent   bool
	// incarnation counts the starts of the target.
	incarnation int64
	crashes     int
}

func (c *cluster) addMember(name, service string) *target {
	member := &target{name: name, runs: map[string]int{}, incarnation: 1}
	member.server = httptest.NewServer(http.HandlerFunc(member.serve))
	c.t.Cleanup(member.server.Close)
	gate := freeAddress(c.t)
	port := portOf(gate)
	// The gates of all members have the same port, so each member needs an IP
	// address of its own: 127.0.M.N.
	memberAddresses.Lock()
	memberAddresses.n++
	ip := fmt.Sprintf("127.0.%d.%d", 1+memberAddresses.n/200, 1+memberAddresses.n%200)
	if memberAddresses.gatePort == "" {
		memberAddresses.gatePort = port
	}
	port = memberAddresses.gatePort
	memberAddresses.Unlock()
	member.process = startLogging(c.t, fleetdaemon.Config{
		Cluster: "test", Peer: net.JoinHostPort(ip, portOf(freeAddress(c.t))), TrustNetwork: true,
		Seeds: []string{c.control.cfg.Peer}, StopTimeout: c.stopTimeout, Lease: c.lease, MemoryBytes: c.memory,
		Sidecar: &fleetdaemon.Sidecar{
			DataCentre: "dc-" + name, Caller: freeAddress(c.t), Gate: net.JoinHostPort(ip, port),
			Target: member.server.Listener.Addr().String(), Service: service, HeaderNames: headerNames,
			Budget: relay.RetryBudgetConfig{Ratio: 1, Burst: 1000},
		},
	}, c.newLogs())
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go member.announce(ctx, service, c.lease.AnnounceInterval)
	return member
}

// memberAddresses is shared by all tests: n counts the addresses in use.
var memberAddresses struct {
	sync.Mutex
	n        int
	gatePort string
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// announce sends announcements to the member's agent until ctx ends.
func (t *target) announce(ctx context.Context, service string, interval time.Duration) {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.sequence++
		r := fleetagent.Announcement{
			ID: t.name, Incarnation: t.incarnation, Service: service, Address: t.cfg.Sidecar.Target, Slots: 4,
			Sequence: t.sequence, Draining: t.draining, Ranges: grant.RangeReport{Held: t.holds, Released: t.released},
		}
		silent, agent := t.silent, t.Agent()
		t.mu.Unlock()
		if !silent {
			granted, _ := agent.Announce(r)
			t.applyGrant(granted)
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// restartProcess stops the sidecar process and starts it again, while the target runs.
func (t *target) restartProcess(test *testing.T) {
	test.Helper()
	t.end(test)
	t.startAgain(test)
}

// startAgain starts the sidecar process, which has ended, while the target runs.
func (t *target) startAgain(test *testing.T) {
	test.Helper()
	p := start(test, t.cfg)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.process = p
}

// end stops a process and waits until it can be started again.
func (p *process) end(t *testing.T) {
	t.Helper()
	p.stop()
	if err := <-p.done; err != nil {
		t.Fatal(err)
	}
	// The listener for peers is closed after Run has returned.
	await(t, "end of the listener", func() bool {
		l, err := net.Listen("tcp", p.cfg.Peer)
		return err == nil && l.Close() == nil
	})
}

// applyGrant replaces the held ranges by those of a grant and releases the
// others.
func (t *target) applyGrant(g grant.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.Duration <= 0 {
		return
	}
	t.released = nil
	for _, h := range t.holds {
		if r, ok := ranges.Find(g.Ranges, h.From); !ok || r.Fence != h.Fence {
			t.released = append(t.released, ranges.Range{From: h.From, To: h.To, HandoverToken: "token"})
		}
	}
	t.holds = g.Ranges
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Id")
	t.mu.Lock()
	held := true
	if key, err := strconv.Atoi(r.Header.Get("X-Key")); err == nil {
		_, held = ranges.Find(t.holds, uint16(key))
	}
	if held {
		t.runs[id]++
	}
	t.mu.Unlock()
	w.Header().Set("X-Id", id)
	if !held {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.behave != nil && t.behave(w, r) {
		return
	}
	w.Header().Set("X-Signed", t.name)
	_, _ = fmt.Fprintf(w, "%s ran %s for %s", t.name, r.URL.Path, r.Header.Get("X-Caller"))
}

func (t *target) count(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// call sends a caller's request to the member and returns the status, the body
// and the headers of the answer. The status is zero if there is no answer.
func (t *target) call(method, path, id string, header map[string]string) (int, string, http.Header) {
	req, _ := http.NewRequest(method, "http://"+t.cfg.Sidecar.Caller+path, nil)
	req.Host = "h"
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Deadline-Ms", "5000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(body), resp.Header
}

func document(version uint64) *routes.Document {
	part := func(service string) []routes.WeightedService {
		return []routes.WeightedService{{Service: service, Weight: 1}}
	}
	return &routes.Document{
		Version: version,
		Routes: []routes.Route{
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Kind: routes.Idempotent, LatencyObjective: 2 * time.Second, Timeout: 5 * time.Second, Attempts: 2, Destinations: part("keyed")},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.Idempotent, LatencyObjective: 2 * time.Second, Timeout: 5 * time.Second, Attempts: 2, Destinations: part("plain")},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routes.NonIdempotent, LatencyObjective: 2 * time.Second, Timeout: 5 * time.Second, Attempts: 2, Destinations: part("plain")},
		},
		Services: []routes.Service{{Name: "keyed", Sharded: true}, {Name: "plain"}},
	}
}
