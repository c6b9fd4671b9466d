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

// serving starts two keyed and two plain members and waits until each serves.
func serving(t *testing.T) (keyed, plain [2]*target, c *cluster) {
	c = newCluster(t)
	c.apply(document(1))
	keyed = [2]*target{c.member("k1", "keyed"), c.member("k2", "keyed")}
	plain = [2]*target{c.member("p1", "plain"), c.member("p2", "plain")}
	await(t, "service of all keys", func() bool {
		if !everyKey(plain[0], "w", func(_ string, status int, _ string) bool { return status == 200 }) {
			return false
		}
		status, _, _ := keyed[0].call("GET", "/safe/x", "w", nil)
		return status == 200 && len(keyed[0].Agent().View().Members) == 4
	})
	return keyed, plain, c
}

// everyKey asks for keys all over the key space until an answer is not right.
func everyKey(from *target, ids string, right func(id string, status int, body string) bool) bool {
	for key := 0; key < 65536; key += 997 {
		id := fmt.Sprint(ids, key)
		if status, body, _ := from.call("GET", "/keyed/x", id, map[string]string{"X-Key": fmt.Sprint(key)}); !right(id, status, body) {
			return false
		}
	}
	return true
}

// Guards against a request on a key that reaches a target which does not hold
// it, against a lost or invented caller, and against routes that do not exist.
func TestRequestsReachTheirOwner(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := serving(t)
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

// Guards against an unsafe request that runs twice, and against a safe one
// that fails because one target breaks off its answers.
func TestBrokenAnswers(t *testing.T) {
	is := is.New(t)
	_, plain, _ := serving(t)
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

// Guards against a refusal that is not true: a target that refuses every
// request has run none of them.
func TestRefusalIsTrue(t *testing.T) {
	is := is.New(t)
	_, plain, _ := serving(t)
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

// Guards against new requests at a target that has said that it drains.
func TestDrainingTarget(t *testing.T) {
	is := is.New(t)
	_, plain, _ := serving(t)
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

// Guards against keys that are lost with their target, or that two targets
// serve at once.
func TestKeysOfLostTargetMove(t *testing.T) {
	keyed, plain, _ := serving(t)
	keyed[0].mu.Lock()
	keyed[0].silent = true
	keyed[0].mu.Unlock()
	keyed[0].stop()
	await(t, "service of all keys by the other target", func() bool {
		return everyKey(plain[0], "l", func(id string, status int, _ string) bool { return status == 200 && keyed[1].count(id) > 0 })
	})
}

// Guards against keys that stay with a target that falls silent while its
// process lives: it cannot give them back, and nobody proves that it has ended.
func TestKeysOfSilentTargetMove(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := serving(t)
	keyed[0].mu.Lock()
	keyed[0].silent = true
	keyed[0].mu.Unlock()
	await(t, "service of all keys by the other target", func() bool {
		return everyKey(plain[0], "silent", func(_ string, status int, body string) bool { return status == 200 && strings.HasPrefix(body, "k2") })
	})
	is.True(!keyed[1].draining)
}

// Guards against a planned stop that cuts a request in progress.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	_, plain, _ := serving(t)
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

// Guards against a stopping process that takes requests until its time is over
// and then breaks them off: it takes none while those that it has end.
func TestStoppingProcessTakesNoLateRequests(t *testing.T) {
	is := is.New(t)
	_, plain, _ := serving(t)
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

// Guards against callers that are served by an old document after a change.
func TestDocumentChange(t *testing.T) {
	is := is.New(t)
	_, plain, c := serving(t)
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

// Guards against a gate that sends work to its target before it knows what a
// cold target bears: a new process may be asked before it has the document.
func TestGateWithoutDocument(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	p := c.member("p", "plain")
	await(t, "announcement", func() bool { _, ok := p.Agent().Target(); return ok })
	req, err := http.NewRequest("GET", "http://"+p.cfg.Sidecar.Gate+"/safe/a", nil)
	is.NoErr(err)
	req.Header.Set("X-Id", "early")
	req.Header.Set("Bq-Hop", "plain;safe;0;;plain;2000;5000;1;false")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.HasPrefix(resp.Header.Get("Bq-Hop"), "not-run;"))
	is.Equal(p.count("early"), 0)
}
