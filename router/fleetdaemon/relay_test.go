package fleetdaemon_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServingCluster starts two keyed and two plain members and waits until all
// keys and the plain service are served.
func startServingCluster(t *testing.T) (keyed, plain [2]*target, c *cluster) {
	c = newCluster(t)
	c.apply(document(1))
	keyed = [2]*target{c.addMember("k1", "keyed"), c.addMember("k2", "keyed")}
	plain = [2]*target{c.addMember("p1", "plain"), c.addMember("p2", "plain")}
	await(t, "service of all keys", func() bool {
		if !callAllKeys(plain[0], "w", func(_ string, status int, _ string) bool { return status == 200 }) {
			return false
		}
		status, _, _ := keyed[0].call("GET", "/safe/x", "w", nil)
		return status == 200 && len(keyed[0].Agent().View().Members) == 4
	})
	return keyed, plain, c
}

// callAllKeys sends requests for keys from the whole key space until check
// rejects an answer, and reports whether it accepted all of them.
func callAllKeys(via *target, idPrefix string, check func(id string, status int, body string) bool) bool {
	for key := 0; key < 65536; key += 997 {
		id := fmt.Sprint(idPrefix, key)
		if status, body, _ := via.call("GET", "/keyed/x", id, map[string]string{"X-Key": fmt.Sprint(key)}); !check(id, status, body) {
			return false
		}
	}
	return true
}

// Guards against a request that runs at a target which does not hold its key,
// against a wrong caller service in the forwarded headers, and against requests
// without a route or a key that are not rejected.
func TestRequestsReachTheirOwner(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	for key := 0; key < 65536; key += 4001 {
		id := fmt.Sprint("key", key)
		status, body, _ := plain[0].call("GET", "/keyed/a", id, map[string]string{"X-Key": fmt.Sprint(key), "X-Caller": "forged"})
		is.Equal(status, 200)
		is.True(strings.HasSuffix(body, "for plain"))
		is.Equal(keyed[0].count(id)+keyed[1].count(id), 1)
	}
	status, _, _ := plain[0].call("GET", "/none/", "n", nil)
	is.Equal(status, http.StatusNotFound)
	status, _, _ = plain[0].call("GET", "/keyed/a", "nokey", nil)
	is.Equal(status, http.StatusBadRequest)
}

// Guards against an unsafe request that runs twice, and against a safe request
// that fails, because one of two targets closes its connections without an
// answer.
func TestBrokenAnswers(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	plain[0].behave = func(w http.ResponseWriter, _ *http.Request) bool {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
		return true
	}
	for i := range 20 {
		id := fmt.Sprint("u", i)
		status, _, _ := plain[1].call("POST", "/unsafe/a", id, nil)
		is.Equal(plain[0].count(id)+plain[1].count(id), 1)
		is.True(status == 200 || status == 502)
		id = fmt.Sprint("s", i)
		status, _, _ = plain[1].call("GET", "/safe/a", id, nil)
		is.Equal(status, 200)
	}
}

// Guards against an answer that leaves open whether a request ran, although
// every target refused it without running it.
func TestRefusedRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	for _, p := range plain {
		p.behave = func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(503)
			return true
		}
	}
	status, _, header := plain[0].call("POST", "/unsafe/a", "r", nil)
	is.Equal(status, 503)
	is.True(header.Get("Retry-After") != "")
}

// Guards against new requests at a target that has announced that it drains.
func TestDrainingTarget(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	plain[0].mu.Lock()
	plain[0].draining = true
	plain[0].mu.Unlock()
	await(t, "drain", func() bool {
		at, ok := plain[0].Agent().Target()
		return ok && !at.Accepts
	})
	for i := range 20 {
		id := fmt.Sprint("d", i)
		status, _, _ := plain[0].call("GET", "/safe/a", id, nil)
		is.Equal(status, 200)
		is.Equal(plain[0].count(id), 0)
	}
}

// Guards against keys that stay unserved after their target and its process
// have stopped.
func TestKeysOfLostTargetMove(t *testing.T) {
	keyed, plain, _ := startServingCluster(t)
	keyed[0].mu.Lock()
	keyed[0].silent = true
	keyed[0].mu.Unlock()
	keyed[0].stop()
	await(t, "service of all keys by the other target", func() bool {
		return callAllKeys(plain[0], "l", func(id string, status int, _ string) bool { return status == 200 && keyed[1].count(id) > 0 })
	})
}

// Guards against keys that stay assigned to a target that sends no more
// announcements while its process runs. It cannot release them, and nothing
// shows that it has ended.
func TestKeysOfSilentTargetMove(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	keyed[0].mu.Lock()
	keyed[0].silent = true
	keyed[0].mu.Unlock()
	await(t, "service of all keys by the other target", func() bool {
		return callAllKeys(plain[0], "silent", func(_ string, status int, body string) bool { return status == 200 && strings.HasPrefix(body, "k2") })
	})
	is.True(!keyed[1].draining)
}

// Guards against a planned stop that aborts a request in progress.
func TestPlannedStopCompletesRequests(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	entered, release := make(chan struct{}, 1), make(chan struct{})
	slow := func(http.ResponseWriter, *http.Request) bool {
		entered <- struct{}{}
		<-release
		return false
	}
	plain[0].behave, plain[1].behave = slow, slow
	answered := make(chan int, 1)
	go func() {
		status, _, _ := plain[0].call("POST", "/unsafe/a", "slow", nil)
		answered <- status
	}()
	<-entered
	plain[0].stop()
	await(t, "end of readiness", func() bool { return !plain[0].Ready() })
	time.Sleep(100 * time.Millisecond)
	close(release)
	is.Equal(<-answered, 200)
	is.NoErr(<-plain[0].done)
}

// Guards against a stopping process that accepts requests until its stop timeout
// and then aborts them. It must close its listener while the requests in
// progress finish.
func TestStoppingProcessTakesNoLateRequests(t *testing.T) {
	is := is.New(t)
	_, plain, _ := startServingCluster(t)
	release := make(chan struct{})
	for _, p := range plain {
		p.behave = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == "/safe/long" {
				<-release
			}
			return false
		}
	}
	answered := make(chan int, 1)
	go func() {
		status, _, _ := plain[0].call("GET", "/safe/long", "long", nil)
		answered <- status
	}()
	await(t, "the long request", func() bool { return plain[0].count("long")+plain[1].count("long") == 1 })
	plain[0].stop()
	await(t, "the end of the listener", func() bool {
		c, err := net.Dial("tcp", plain[0].cfg.Sidecar.Caller)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(release)
	is.Equal(<-answered, 200)
	is.NoErr(<-plain[0].done)
}

// Guards against requests that are routed by the old document after a change.
func TestDocumentChange(t *testing.T) {
	is := is.New(t)
	_, plain, c := startServingCluster(t)
	d := document(2)
	d.Routes = d.Routes[:2]
	is.Equal(string(c.apply(d).Status), "accepted")
	await(t, "end of the removed route", func() bool {
		status, _, _ := plain[0].call("POST", "/unsafe/a", "x", nil)
		return status == http.StatusNotFound
	})
	status, _, _ := plain[0].call("GET", "/safe/a", "y", nil)
	is.Equal(status, 200)
}

// Guards against a gate that sends requests to its target before it has the
// document, which limits the load of a cold target. Peers may forward requests
// to a new process before it has a document.
func TestGateWithoutDocument(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	p := c.addMember("p", "plain")
	await(t, "announcement", func() bool { _, ok := p.Agent().Target(); return ok })
	req, err := http.NewRequest("GET", "http://"+p.cfg.Sidecar.Gate+"/safe/a", nil)
	is.NoErr(err)
	req.Header.Set("X-Id", "early")
	// Bq-Hop is: service;route;priority;key;caller service;objective ms;deadline
	// ms;document version;no-wait.
	req.Header.Set("Bq-Hop", "plain;safe;0;;plain;2000;5000;1;false")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.HasPrefix(resp.Header.Get("Bq-Hop"), "not-run;"))
	is.Equal(p.count("early"), 0)
}
