package fleetdaemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/fleetdaemon"
)

// memoryLimit is the memory limit of each sidecar process in these tests.
const memoryLimit = 96 << 20

// startBoundedCluster starts two plain targets, one of which misbehaves on paths below
// /safe/bad/ and /unsafe/bad/. The result returns the most memory that the processes,
// which share this one, have used since.
func startBoundedCluster(t *testing.T, misbehave func(w http.ResponseWriter, r *http.Request)) (p [2]*target, peak func() uint64) {
	t.Helper()
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	c := newCluster(t)
	c.memory = memoryLimit
	c.apply(document(1))
	p = [2]*target{c.addMember("m1", "plain"), c.addMember("m2", "plain")}
	behave := func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.URL.Path, "/bad/") {
			return false
		}
		w.Header().Set("X-Signed", "m1")
		misbehave(w, r)
		return true
	}
	p[0].behave, p[1].behave = behave, behave
	await(t, "service", func() bool {
		status, _, _ := p[0].call("GET", "/safe/x", "w", nil)
		return status == 200 && len(p[0].Agent().View().Members) == 2
	})
	runtime.GC()
	var most atomic.Uint64
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		var m runtime.MemStats
		for {
			runtime.ReadMemStats(&m)
			most.Store(max(most.Load(), m.HeapInuse))
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return p, most.Load
}

// callBeside sends sound requests, one after the other, while work goes on, and returns
// the number of those that were not served.
func callBeside(p *target, work func()) (calls, failed int) {
	done := make(chan struct{})
	go func() { defer close(done); work() }()
	for {
		status, _, _ := p.call("GET", "/safe/x", fmt.Sprint("sound", calls), nil)
		if calls++; status != http.StatusOK {
			failed++
		}
		select {
		case <-done:
			return calls, failed
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against a process that exceeds its memory because several targets answer with
// bytes without end at once, and against sound requests that fail beside them.
func TestAnswersWithoutEndShareTheMemory(t *testing.T) {
	is := is.New(t)
	part := make([]byte, 64<<10)
	p, peak := startBoundedCluster(t, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	var callers sync.WaitGroup
	calls, failed := callBeside(p[1], func() {
		for i := range 6 {
			callers.Go(func() {
				for n := range 4 {
					status, _, _ := p[i%2].call("GET", "/safe/bad/x", fmt.Sprint("endless", i, n), nil)
					is.True(status >= 500)
				}
			})
		}
		callers.Wait()
	})
	t.Logf("peak %d MiB; %d of %d sound requests failed", peak()>>20, failed, calls)
	is.True(peak() < 2*memoryLimit) // two processes
	is.True(failed*10 < calls)
}

// Guards against a process that exceeds its memory because callers do not read long
// answers.
func TestUnreadAnswersShareTheMemory(t *testing.T) {
	is := is.New(t)
	answer := make([]byte, 8<<20)
	p, peak := startBoundedCluster(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	calls, failed := callBeside(p[1], func() {
		for i := range 24 {
			conn, err := net.Dial("tcp", p[0].cfg.Sidecar.Caller)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET /safe/bad/x HTTP/1.1\r\nHost: h\r\nX-Id: unread%d\r\n\r\n", i)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
		}
	})
	t.Logf("peak %d MiB; %d of %d sound requests failed", peak()>>20, failed, calls)
	is.True(peak() < 2*memoryLimit)
	is.True(failed*10 < calls)
}

// Guards against a process that exceeds its memory because callers send bodies slowly,
// each shorter than the bound for one.
func TestSlowBodiesShareTheMemory(t *testing.T) {
	is := is.New(t)
	p, peak := startBoundedCluster(t, func(http.ResponseWriter, *http.Request) {})
	body := strings.Repeat("x", 250<<10)
	refused := 0
	calls, failed := callBeside(p[1], func() {
		var conns []net.Conn
		for i := range 800 {
			conn, err := net.Dial("tcp", p[0].cfg.Sidecar.Caller)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			// The last byte of the body is missing.
			_, _ = fmt.Fprintf(conn, "POST /unsafe/bad/x HTTP/1.1\r\nHost: h\r\nX-Id: slow%d\r\nContent-Length: %d\r\n\r\n%s", i, len(body)+1, body)
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if answer, _ := io.ReadAll(conn); strings.HasPrefix(string(answer), "HTTP/1.1 503 ") {
				is.True(strings.Contains(string(answer), "Retry-After"))
				refused++
			}
		}
	})
	t.Logf("peak %d MiB; %d refused; %d of %d sound requests failed", peak()>>20, refused, failed, calls)
	is.True(peak() < 2*memoryLimit)
	is.True(refused > 0)
	is.True(failed*10 < calls)
}

// Guards against a process that exceeds its memory because callers send heads of many
// short fields, each within the limit for one.
func TestHeadsShareTheMemory(t *testing.T) {
	is := is.New(t)
	p, peak := startBoundedCluster(t, func(http.ResponseWriter, *http.Request) {})
	var head strings.Builder
	for i := 0; head.Len() < 60<<10; i++ {
		_, _ = fmt.Fprintf(&head, "%x:\r\n", i)
	}
	calls, failed := callBeside(p[1], func() {
		for i := range 400 {
			conn, err := net.Dial("tcp", p[0].cfg.Sidecar.Caller)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			// The line that ends the head is missing.
			_, _ = fmt.Fprintf(conn, "GET /safe/bad/x HTTP/1.1\r\nHost: h\r\nX-Id: head%d\r\n%s", i, head.String())
		}
		time.Sleep(200 * time.Millisecond)
	})
	t.Logf("peak %d MiB; %d of %d sound requests failed", peak()>>20, failed, calls)
	is.True(peak() < 2*memoryLimit)
	is.True(failed*10 < calls)
}

// Guards against a process that exceeds its memory because a target opens many connections
// for announcements and ends no head.
func TestCallConnectionsShareTheMemory(t *testing.T) {
	is := is.New(t)
	p, peak := startBoundedCluster(t, func(http.ResponseWriter, *http.Request) {})
	announce, gate := freeAddress(t), freeAddress(t)
	start(t, fleetdaemon.Config{
		Cluster: "test", Peer: freeAddress(t), TrustNetwork: true, Seeds: p[0].cfg.Seeds, StopTimeout: time.Second, Lease: p[0].cfg.Lease, MemoryBytes: memoryLimit,
		Sidecar: &fleetdaemon.Sidecar{DataCentre: "a", Caller: freeAddress(t), Gate: gate, Announce: announce, Target: freeAddress(t), Service: "plain", HeaderNames: headerNames},
	})
	var head strings.Builder
	for i := 0; head.Len() < 60<<10; i++ {
		_, _ = fmt.Fprintf(&head, "%x:\r\n", i)
	}
	calls, failed := callBeside(p[1], func() {
		for range 400 {
			conn, err := net.Dial("tcp", announce)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /v1/announce HTTP/1.1\r\nHost: h\r\n%s", head.String())
		}
		time.Sleep(200 * time.Millisecond)
	})
	t.Logf("peak %d MiB; %d of %d sound requests failed", peak()>>20, failed, calls)
	is.True(peak() < 2*memoryLimit)
	is.True(failed*10 < calls)
}
