package fleetdaemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/fleetclient"
	"bramleyquay.example/router/fleetnode"
)

// downTime is the time until a crashed target starts again.
const downTime = 500 * time.Millisecond

// crash ends the target with its connections, its keys and its announcements, and
// starts another incarnation at the same address after downTime.
func (t *target) crash(test *testing.T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent {
		return // it has ended already
	}
	t.silent, t.holds, t.released = true, []ranges.Range(nil), nil
	t.crashes++
	server := t.server
	_ = server.Listener.Close() // ends the target
	server.CloseClientConnections()
	time.AfterFunc(downTime, func() {
		l, err := net.Listen("tcp", t.cfg.Sidecar.Target)
		if err != nil {
			test.Error(err)
			return
		}
		next := httptest.NewUnstartedServer(http.HandlerFunc(t.serve))
		_ = next.Listener.Close() // replaced
		next.Listener = l
		next.Start()
		test.Cleanup(next.Close)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.server, t.silent, t.sequence = next, false, 0
		t.incarnation++
	})
}

// deadlyRequests are the arrivals of a request that ends the targets that run it.
type deadlyRequests struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  int
	third    time.Time // the time of the third crash
}

// after returns the number of arrivals later than a time after the third crash.
func (d *deadlyRequests) after(wait time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, at := range d.arrivals {
		if !d.third.IsZero() && at.After(d.third.Add(wait)) {
			n++
		}
	}
	return n
}

// makeDeadly makes a path end the targets that run it, some time after the start.
func (d *deadlyRequests) makeDeadly(test *testing.T, targets []*target, path string) {
	for _, p := range targets {
		p.behave = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != path {
				time.Sleep(20 * time.Millisecond)
				return false
			}
			d.mu.Lock()
			d.arrivals = append(d.arrivals, time.Now())
			d.mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			p.crash(test)
			d.mu.Lock()
			d.crashes++
			if d.crashes == 3 {
				d.third = time.Now()
			}
			d.mu.Unlock()
			return false
		}
	}
}

// Guards against one request that ends target after target, sent again at any
// process, and against other requests that are refused with it.
func TestRequestThatEndsTargetsIsRefused(t *testing.T) {
	is := is.New(t)
	keyed, plain, c := startServingCluster(t)
	targets := []*target{plain[0], plain[1], c.addMember("p3", "plain"), c.addMember("p4", "plain")}
	var deadly deadlyRequests
	deadly.makeDeadly(t, targets, "/safe/deadly")
	callers := append(append([]*target{}, targets...), keyed[0], keyed[1])
	var refusedAt int
	status, header := 0, http.Header{}
	served := map[string]int{}
	for end, i := time.Now().Add(10*time.Second), 0; time.Now().Before(end); i++ {
		via := callers[i%len(callers)]
		if via.running() {
			s, _, h := via.call("GET", "/safe/deadly", fmt.Sprint("deadly", i), nil)
			if s == http.StatusServiceUnavailable && h.Get("Retry-After") != "" {
				refusedAt, status, header = i, s, h
			}
			if s, _, _ := via.call("GET", fmt.Sprint("/safe/", i%3), fmt.Sprint("other", i), nil); s == 200 {
				served[fmt.Sprint(i%3)]++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("crashes %d, arrivals %d, after 3 s %d, others served %v", deadly.crashes, len(deadly.arrivals), deadly.after(3*time.Second), served)
	is.True(deadly.crashes >= 3)
	is.True(deadly.after(3*time.Second) <= 3)
	is.True(refusedAt > 0)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(len(header.Get("Retry-After")) > len("99.999")) // for minutes
	var group fleetnode.Status
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(c.control.Leaders().CallReplica(ctx, c.control.cfg.Peer, fleetnode.MethodStatus, struct{}{}, &group))
	is.Equal(len(group.Quarantine), 2) // of the two services that send it
	for _, e := range group.Quarantine {
		is.True(e.Refused > 0)
		suspected, err := fleetclient.Allow(ctx, c.control.Leaders(), e.Fingerprint)
		is.NoErr(err)
		is.True(suspected)
	}
	before := len(deadly.arrivals)
	await(t, "a request after it is allowed", func() bool {
		plain[0].call("GET", "/safe/deadly", "allowed", nil)
		deadly.mu.Lock()
		defer deadly.mu.Unlock()
		return len(deadly.arrivals) > before
	})
	for path := range served {
		await(t, "service of the other requests", func() bool {
			s, _, _ := plain[0].call("GET", "/safe/"+path, "again"+path, nil)
			return s == 200
		})
	}
	is.Equal(len(served), 3)
}

// running reports whether the target has not crashed.
func (t *target) running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.silent
}

// Guards against copies of a request that ends targets which run at once at the only
// target that may run them, so that each end counts for many.
func TestCopiesOfRequestThatEndsTargets(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	var deadly deadlyRequests
	deadly.makeDeadly(t, keyed[:], "/keyed/deadly")
	var callers sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for i := range 12 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				plain[i%2].call("GET", "/keyed/deadly", fmt.Sprint("deadly", i, "-", n), map[string]string{"X-Key": "4711"})
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	t.Logf("crashes %d, arrivals %d, after 3 s %d", deadly.crashes, len(deadly.arrivals), deadly.after(3*time.Second))
	is.True(deadly.crashes >= 3)
	is.True(deadly.after(3*time.Second) <= 3)
	is.True(len(deadly.arrivals) <= 3+3)
}
