package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/call"
)

// request is what a target received.
type request struct {
	uri, host string
	header    http.Header
}

// recorder starts a target and returns its address and a channel of the requests
// that it receives.
func recorder(t *testing.T) (addr string, seen chan request) {
	seen = make(chan request, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen <- request{uri: r.RequestURI, host: r.Host, header: r.Header}
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "hop")
		w.Header().Set("X-End", "end")
		w.Header().Set(call.HeaderOutcome, "unknown")
		w.Header().Set(call.HeaderReplayed, "true")
		w.Header().Set("Bq-Load", "0/999/0")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), seen
}

// TestHeadersOfCallers guards against forwarding headers with which a caller forges
// a statement of the router, or changes the framing of the connection to the target.
func TestHeadersOfCallers(t *testing.T) {
	addr, seen := recorder(t)
	newFixture(t, "keyed", addr).throughBoth(t, func(t *testing.T, base string) {
		is := is.New(t)
		got := exchange(t, base, strings.Join([]string{
			"POST /keyed/x HTTP/1.1", "Host: outside", "Bq-Key: k1", "Content-Length: 2",
			"Connection: close, X-Listed, x-lower", "X-Listed: a", "X-Lower: b", "X-Kept: c",
			"Te: trailers", "Upgrade: websocket", "Keep-Alive: 1", "Proxy-Authorization: p", "Trailer: Bq-Epoch", "Expect: 100-continue",
			"Bq-Unit: keyed:k/9", "Bq-Epoch: 999", "bq-outcome: not-run", "Bq-Service: plain", "Bq-Payment: 1",
			"Bq-Idempotency-Key: forged", "Bq_Epoch: 998", "Bq-Anything: z", "X-Idempotency-Key: second", "Idempotency-Key: first", "", "ab",
		}, "\r\n"), 3*time.Second)
		is.True(strings.Contains(got, "Bq-Outcome: done")) // the target's own outcome is not passed on
		is.True(!strings.Contains(got, "999"))             // nor its load
		is.True(!strings.Contains(got, "Replayed"))        // nor its replay mark
		is.True(!strings.Contains(got, "X-Hop"))           // listed by the target
		is.True(strings.Contains(got, "X-End: end"))
		is.True(strings.Contains(got, "HTTP/1.1 100 Continue")) // the listener answers the expectation
		h := (<-seen).header
		for name, value := range map[string]string{
			"X-Kept": "c", call.HeaderKey: "k1", call.HeaderUnit: "keyed:k/0", call.HeaderEpoch: "3", call.HeaderIdempotencyKey: "first",
			"X-Listed": "", "X-Lower": "", "Te": "", "Upgrade": "", "Keep-Alive": "", "Proxy-Authorization": "", "Trailer": "", "Expect": "",
			call.HeaderOutcome: "", call.HeaderService: "", call.HeaderPayment: "", call.HeaderPeerIdempotencyKey: "", "Bq_epoch": "", "Bq-Anything": "", "Connection": "",
		} {
			t.Run(name, func(t *testing.T) { is := is.New(t); is.Equal(h.Get(name), value) })
		}
		is.Equal(len(h[call.HeaderEpoch]), 1)
	})
}

// TestPathsArriveAsSent guards against a path that is changed on its way, by cleaning
// or unescaping, so that the target serves another one than the caller sent.
func TestPathsArriveAsSent(t *testing.T) {
	addr, seen := recorder(t)
	fx := newFixture(t, "plain", addr)
	internal := serve(t, fx.internal)
	for _, base := range []string{fx.local.URL, fx.remote.URL, internal.URL} {
		for _, path := range []string{
			"/", "/a%2Fb", "/a%2fb/..%2f", "/../x", "/./x/..", "//x//y", "/a%20b", "/a%25b", "/%00", "/a;b?c;d=%2F&e", "/a?b=/../c",
			"/x:y@z!$&'()*+,=", "/%E2%82%AC", "/a%5Cb", "/[x]", "/a%2Fb//../c?", "/p%41",
		} {
			t.Run(path, func(t *testing.T) {
				is := is.New(t)
				got := exchange(t, base, "GET /plain"+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 3*time.Second)
				is.True(strings.HasPrefix(got, "HTTP/1.1 200"))
				is.Equal(strings.TrimSuffix((<-seen).uri, "?"), strings.TrimSuffix(path, "?"))
			})
		}
	}
}
