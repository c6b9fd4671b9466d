package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/call"
	"bramleyquay.example/router/memory/heappeak"
)

// TestRefusesBadRequests guards against invalid requests that reach the target or
// are answered with another outcome than not-run.
func TestRefusesBadRequests(t *testing.T) {
	var seen atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
	defer target.Close()
	cases := []struct {
		name, method, path string
		header             []string
		status             int
	}{
		{"unknown service", "GET", "/nothing/x", nil, 404},
		{"no service", "GET", "/", nil, 404},
		{"empty first segment", "GET", "//keyed/x", nil, 404},
		{"escaped slash in the service", "GET", "/keyed%2Fx/y", []string{call.HeaderKey, "k1"}, 404},
		{"service escaped twice", "GET", "/key%2565d/y", []string{call.HeaderKey, "k1"}, 404},
		{"internal service", "GET", "/seats/x", nil, 404},
		{"internal service escaped", "GET", "/%73eats/x", nil, 404},
		{"service by header", "GET", "/nothing/x", []string{call.HeaderService, "keyed", call.HeaderKey, "k1"}, 404},
		{"no key", "GET", "/keyed/x", nil, 400},
		{"long key", "GET", "/keyed/x", []string{call.HeaderKey, "k" + strings.Repeat("x", 512)}, 400},
		{"key that is not UTF-8", "GET", "/keyed/x", []string{call.HeaderKey, "k\xff"}, 400},
		{"no rule", "GET", "/keyed/x", []string{call.HeaderKey, "z"}, 404},
		{"timeout of words", "GET", "/keyed/x", []string{call.HeaderKey, "k1", call.HeaderTimeout, "soon"}, 400},
		{"timeout of zero", "GET", "/keyed/x", []string{call.HeaderKey, "k1", call.HeaderTimeout, "0"}, 400},
		{"negative timeout", "GET", "/keyed/x", []string{call.HeaderKey, "k1", call.HeaderTimeout, "-5"}, 400},
		{"timeout beyond 64 bits", "GET", "/keyed/x", []string{call.HeaderKey, "k1", call.HeaderTimeout, "99999999999999999999"}, 400},
		{"bad time of issue", "GET", "/keyed/x", []string{call.HeaderKey, "k1", call.HeaderIssuedAt, "x"}, 400},
		{"TRACE", "TRACE", "/keyed/x", []string{call.HeaderKey, "k1"}, 400},
		{"payment without key", "POST", "/pay/x", nil, 400},
		{"payment with a key that is not UTF-8", "POST", "/pay/x", []string{call.HeaderIdempotencyKey, "\xff"}, 400},
		{"payment with a long key", "POST", "/pay/x", []string{call.HeaderIdempotencyKey, strings.Repeat("x", 513)}, 400},
	}
	newFixture(t, "keyed", target.Listener.Addr().String()).throughBoth(t, func(t *testing.T, base string) {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				resp, body, err := do(t, c.method, base+c.path, nil, c.header...)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.Equal(outcomeOf(resp), "not-run")
				is.True(strings.Contains(string(body), `"outcome":"not-run"`))
			})
		}
	})
	is.New(t).Equal(seen.Load(), int64(0)) // no request reached the target
}

// TestInternalServiceAnswersLikeUnknown guards against an answer by which callers
// learn which internal services exist.
func TestInternalServiceAnswersLikeUnknown(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, "seats", "127.0.0.1:9")
	_, internal, err := do(t, "GET", fx.local.URL+"/seats/x", nil)
	is.NoErr(err)
	_, unknown, err := do(t, "GET", fx.local.URL+"/chairs/x", nil)
	is.NoErr(err)
	is.Equal(strings.ReplaceAll(string(internal), "seats", "chairs"), string(unknown))
}

// exchange sends raw bytes to a listener and returns all bytes that it receives
// until the connection is closed or wait has passed.
func exchange(t *testing.T, url, raw string, wait time.Duration) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(conn, raw); err != nil {
		return "write: " + err.Error()
	}
	data, _ := io.ReadAll(conn) // what arrived before a reset counts too
	return string(data)
}

// TestBrokenBodies guards against an incomplete or too slow body that reaches the
// target as a complete one, and against a request that stays open beyond its
// deadline because the body does not end.
func TestBrokenBodies(t *testing.T) {
	var complete atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			complete.Add(1)
		}
	}))
	defer target.Close()
	const head = "POST /plain/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nBq-Timeout-Ms: 300\r\n"
	cases := []struct{ name, raw, answer string }{
		{"slow short body", head + "Content-Length: 9\r\n\r\nab", "not-run"},
		{"slow long body", head + "Content-Length: 90000\r\n\r\nab", "unknown"},
		{"slow chunked body", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "unknown"},
		{"broken chunk size", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n", "unknown"},
		{"broken chunk end", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n", "unknown"},
		{"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400 Bad Request"},
		{"two encodings", head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", "501"},
		{"hidden encoding", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "400 Bad Request"},
		{"bad method", "G(T /plain/x HTTP/1.1\r\nHost: x\r\n\r\n", "400 Bad Request"},
		{"large header", "GET /plain/x HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 2<<20) + "\r\n\r\n", ""},
	}
	newFixture(t, "plain", target.Listener.Addr().String()).throughBoth(t, func(t *testing.T, base string) {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				begin := time.Now()
				got := exchange(t, base, c.raw, 5*time.Second)
				is.True(strings.Contains(got, c.answer))            // the answer states what is known
				is.True(!strings.Contains(got, "Bq-Outcome: done")) // and never that it ran
				is.True(time.Since(begin) < 3*time.Second)          // within the deadline of 300 ms and the grace of 1 s
			})
		}
	})
	is.New(t).Equal(complete.Load(), int64(0)) // the target received no body as complete
}

// TestSlowReaderFreesSlot guards against a slot that stays occupied beyond the
// deadline because the caller has stopped reading the answer.
func TestSlowReaderFreesSlot(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer target.Close()
	fx := newFixture(t, "plain", target.Listener.Addr().String())
	for _, base := range []string{fx.local.URL, fx.remote.URL} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /plain/x HTTP/1.1\r\nHost: x\r\nBq-Timeout-Ms: 300\r\n\r\n")
		is.NoErr(err)
		_, err = bufio.NewReader(conn).ReadString('\n')
		is.NoErr(err)
	}
	for end := time.Now().Add(4 * time.Second); fx.gate.Status().Limiter.Running > 0; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end)) // deadline 300 ms and grace 1 s are over
	}
}

// TestLargeAnswerIsStreamed guards against buffering a complete answer in memory.
func TestLargeAnswerIsStreamed(t *testing.T) {
	const size = 100 << 20
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		chunk := make([]byte, 64<<10)
		for sent := 0; sent < size; sent += len(chunk) {
			_, _ = w.Write(chunk)
		}
	}))
	defer target.Close()
	newFixture(t, "plain", target.Listener.Addr().String()).throughBoth(t, func(t *testing.T, base string) {
		is := is.New(t)
		growth := heappeak.Measure(time.Millisecond)
		resp, err := http.Get(base + "/plain/x")
		is.NoErr(err)
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(n, int64(size))
		grown := growth()
		is.True(grown < size/4) // caller, both processes and target together
		fmt.Printf("heap grew by %.1f MB during an answer of 100 MB\n", float64(grown)/(1<<20))
	})
}
