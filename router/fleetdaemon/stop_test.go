package fleetdaemon_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// stopTimeout is the grace time of the processes that these tests stop.
	stopTimeout = 3 * time.Second
	// stopTolerance covers the delays of a busy machine.
	stopTolerance = 700 * time.Millisecond
)

// startStopCluster starts a cluster with two targets of a service, where each request to
// a path with "slow" outlasts the stop of its process and one with "medium" does not.
func startStopCluster(t *testing.T) [2]*target {
	t.Helper()
	c := newCluster(t)
	c.stopTimeout = stopTimeout
	c.apply(document(1))
	p := [2]*target{c.addMember("p1", "plain"), c.addMember("p2", "plain")}
	await(t, "service", func() bool {
		status, _, _ := p[0].call("GET", "/safe/x", "w", nil)
		return status == 200 && len(p[0].Agent().View().Members) == 2
	})
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	for _, m := range p {
		m.behave = func(_ http.ResponseWriter, r *http.Request) bool {
			wait := map[string]time.Duration{"/safe/slow": 2 * stopTimeout, "/safe/medium": 1500 * time.Millisecond}[r.URL.Path]
			select {
			case <-time.After(wait):
			case <-ended:
			}
			return false
		}
	}
	return p
}

// pipeline is a caller's connection on which requests follow each other without waiting.
type pipeline struct {
	conn net.Conn
	sent int
}

func (t *target) openPipeline(test *testing.T) *pipeline {
	test.Helper()
	c, err := net.Dial("tcp", t.cfg.Sidecar.Caller)
	if err != nil {
		test.Fatal(err)
	}
	test.Cleanup(func() { _ = c.Close() }) // the test has read what it needs
	return &pipeline{conn: c}
}

func (p *pipeline) send(kinds ...string) error {
	text := ""
	for _, k := range kinds {
		text += fmt.Sprintf("GET /safe/%s HTTP/1.1\r\nHost: h\r\nX-Id: %s-%d\r\nX-Deadline-Ms: 20000\r\n\r\n", k, p.conn.LocalAddr(), p.sent)
		p.sent++
	}
	_, err := io.WriteString(p.conn, text)
	return err
}

// answers reads until the end of the connection and returns the statuses, the time of
// the first answer and whether the last one had Connection: close.
func (p *pipeline) answers() (statuses []int, first time.Time, closes bool, err error) {
	br := bufio.NewReader(p.conn)
	for {
		if _, err := br.Peek(1); err != nil {
			return statuses, first, closes, err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return statuses, first, closes, err
		}
		if want := fmt.Sprintf("%s-%d", p.conn.LocalAddr(), len(statuses)); resp.Header.Get("X-Id") != want {
			return statuses, first, closes, fmt.Errorf("answer to %q instead of %q", resp.Header.Get("X-Id"), want)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses, first, closes, err
		}
		if len(statuses) == 0 {
			first = time.Now()
		}
		statuses, closes = append(statuses, resp.StatusCode), resp.Close
	}
}

// Guards against ready answers that are lost in a planned stop because an earlier request
// of their connection still runs, against an answer of the process in place of a run that
// may go on, and against a connection that ends without Connection: close.
func TestPipelineBehindSlowRequestInStop(t *testing.T) {
	is := is.New(t)
	p := startStopCluster(t)
	behindSlow, behindMedium := p[0].openPipeline(t), p[0].openPipeline(t)
	is.NoErr(behindSlow.send("slow", "fast", "fast"))
	is.NoErr(behindMedium.send("medium", "fast"))
	time.Sleep(300 * time.Millisecond) // the requests are read
	begun := time.Now()
	is.NoErr(behindSlow.conn.SetReadDeadline(begun.Add(stopTimeout))) // the process would have ended
	p[0].stop()
	is.NoErr(behindSlow.send("fast", "fast"))
	is.NoErr(behindMedium.send("fast"))
	statuses, _, closes, err := behindMedium.answers()
	is.Equal(err, io.EOF)
	is.Equal(statuses, []int{200, 200, 200})
	is.True(closes)
	statuses, first, closes, err := behindSlow.answers()
	is.Equal(err, io.EOF)
	is.Equal(statuses, []int{502, 200, 200, 200, 200})
	is.True(closes)
	is.True(first.Sub(begun) >= stopTimeout*5/6) // the target works until then
	is.NoErr(<-p[0].done)
	is.True(time.Since(begun) < stopTimeout+stopTolerance)
}

// Guards against requests that wait in queues, of this process or of another one that
// stops too, and get no answer, and against one that has not run and is not refused.
func TestQueuedRequestsInStop(t *testing.T) {
	is := is.New(t)
	p := startStopCluster(t)
	var pipelines []*pipeline
	for i := range 12 { // more than the slots of both targets
		pl := p[0].openPipeline(t)
		// A target runs one request at a time of those that are alike.
		is.NoErr(pl.send(fmt.Sprint("slow?", i), "fast"))
		pipelines = append(pipelines, pl)
	}
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	for _, m := range p {
		m.stop()
	}
	refused := 0
	for _, pl := range pipelines {
		is.NoErr(pl.conn.SetReadDeadline(begun.Add(stopTimeout)))
		statuses, _, closes, err := pl.answers()
		is.Equal(err, io.EOF)
		is.Equal(len(statuses), 2)
		is.True(closes)
		for i, s := range statuses {
			id := fmt.Sprintf("%s-%d", pl.conn.LocalAddr(), i)
			ran := p[0].count(id)+p[1].count(id) > 0
			is.True(slices.Contains([]int{200, 502, 503}, s))
			is.Equal(s != 503, ran) // the refusal is true, and no failure hides that it did not run
			if s == 503 {
				refused++
			}
		}
	}
	t.Logf("%d requests refused", refused)
	is.True(refused >= 4) // the slots of both targets are 8
}

// Guards against requests around the signal, and up to the end of the time in which
// requests are accepted, that run and get no answer, against answers out of order and
// against connections that are reset, while two processes stop at the same time.
func TestPipelinesInTheMomentOfAStop(t *testing.T) {
	is := is.New(t)
	p := startStopCluster(t)
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 0))
	var wg sync.WaitGroup
	begun := time.Now().Add(200 * time.Millisecond)
	total := make(chan int, 40)
	for i := range 40 {
		pl := p[i%2].openPipeline(t)
		is.NoErr(pl.conn.SetReadDeadline(begun.Add(stopTimeout)))
		kinds := []string{"fast", "fast", []string{"slow", "medium", "fast"}[i%3], "fast"}
		// Half of the connections are used again around the end of the drain period.
		pauses := []time.Duration{time.Duration(rng.Int64N(int64(20 * time.Millisecond))), 0, 0}
		if i%4 < 2 {
			pauses[2] = 2190*time.Millisecond + time.Duration(rng.Int64N(int64(20*time.Millisecond)))
		}
		wg.Go(func() {
			time.Sleep(time.Until(begun) - 10*time.Millisecond)
			for _, pause := range pauses {
				time.Sleep(pause)
				if pl.send(kinds...) != nil {
					return // the connection is closed, which answers checks
				}
			}
		})
		wg.Go(func() {
			statuses, _, _, err := pl.answers()
			if err != io.EOF {
				t.Errorf("connection %d of seed %d ended with %v after %v", i, seed, err, statuses)
			}
			ran := 0
			for n := range 3 * len(kinds) {
				id := fmt.Sprintf("%s-%d", pl.conn.LocalAddr(), n)
				if p[0].count(id)+p[1].count(id) > 0 {
					ran++
					if n >= len(statuses) {
						t.Errorf("request %d of connection %d of seed %d ran and was not answered", n, i, seed)
					}
				}
			}
			total <- ran
		})
	}
	time.Sleep(time.Until(begun))
	for _, m := range p {
		m.stop()
	}
	wg.Wait()
	close(total)
	n := 0
	for ran := range total {
		n += ran
	}
	t.Logf("%d requests ran", n)
	is.True(n > 0)
}

// Guards against requests that may run once at most, are taken late in the grace time of a
// stop and passed on, and end without an answer, and against an answer that says of one that
// has reached a target that it has not run. Callers at the other process are included.
func TestLateRequestsInStop(t *testing.T) {
	is := is.New(t)
	p := startStopCluster(t)
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	for _, m := range p {
		m.behave = func(http.ResponseWriter, *http.Request) bool { <-never; return true }
	}
	ran := func(id string) bool { return p[0].count(id)+p[1].count(id) > 0 }
	p[0].stop()
	begin := time.Now()
	var callers sync.WaitGroup
	var answered, cut atomic.Int64
	for i := 0; time.Since(begin) < stopTimeout; i++ {
		for n, via := range p {
			callers.Go(func() {
				id, sent := fmt.Sprintf("late-%d-%d", i, n), time.Since(begin)
				status, text, _ := via.call("POST", "/unsafe/late", id, map[string]string{"X-Deadline-Ms": "20000"})
				switch {
				case status == http.StatusServiceUnavailable && ran(id):
					t.Errorf("%s, sent after %v, has run: status %d, %s", id, sent, status, text)
				case status != 0:
					answered.Add(1)
				case ran(id):
					cut.Add(1)
					t.Logf("%s, sent after %v, ended after %v: %s", id, sent, time.Since(begin), text)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.NoErr(<-p[0].done)
	p[1].stop()
	callers.Wait()
	t.Logf("answered %d, cut %d", answered.Load(), cut.Load())
	is.Equal(cut.Load(), int64(0))
	is.True(answered.Load() > 0)
}
