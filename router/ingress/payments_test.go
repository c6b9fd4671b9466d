package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/ingress"
	"bramleyquay.example/router/peer"
)

// TestTargetClosesConnection guards against the retries of net/http: if a reused
// connection breaks, it would send a request with an idempotency key again, which
// then reaches the target twice.
func TestTargetClosesConnection(t *testing.T) {
	for _, service := range []string{"pay", "plain"} {
		for _, body := range []string{"", "amount=1", strings.Repeat("x", call.BufferedBodyBytes+1)} {
			for _, name := range []string{call.HeaderIdempotencyKey, "X-Idempotency-Key"} {
				if service == "pay" && name != call.HeaderIdempotencyKey {
					continue // refused before dispatch
				}
				t.Run(fmt.Sprintf("%s/%d/%s", service, len(body), name), func(t *testing.T) {
					rt := &rawTarget{answer: func(_ int64, r *http.Request) string {
						if r.URL.Path == "/break" {
							return ""
						}
						return completeAnswer
					}}
					newFixture(t, service, rt.listen(t)).throughBoth(t, func(t *testing.T, base string) {
						is := is.New(t)
						key := "k-" + base
						for i := range 2 { // opens the connections that are reused
							resp, _, err := do(t, http.MethodPost, base+"/"+service+"/x", []byte(body), name, fmt.Sprint(key, i))
							is.NoErr(err)
							is.Equal(outcomeOf(resp), "done")
						}
						before := rt.requests.Load()
						resp, _, err := do(t, http.MethodPost, base+"/"+service+"/break", []byte(body), name, key)
						is.NoErr(err)
						is.Equal(outcomeOf(resp), "unknown")
						is.Equal(rt.requests.Load()-before, int64(1))
						if service != "pay" {
							return
						}
						resp, _, err = do(t, http.MethodPost, base+"/pay/break", []byte(body), name, key)
						is.NoErr(err)
						is.Equal(outcomeOf(resp), "unknown")
						is.Equal(rt.requests.Load()-before, int64(1)) // a retry does not run it again
					})
				})
			}
		}
	}
}

// TestGateClosesConnection guards against retries of net/http between ingress and
// gate: a request would reach the gate twice if a reused connection breaks.
func TestGateClosesConnection(t *testing.T) {
	for _, body := range []string{"", "amount=1"} {
		t.Run(fmt.Sprint(len(body)), func(t *testing.T) {
			is := is.New(t)
			peers, err := peer.Listen("127.0.0.1:0", secret, nil, discardLog, nil)
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go peers.Serve(ctx)
			var broken atomic.Int64
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/break" {
					broken.Add(1)
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(call.HeaderOutcome, "done")
			})}
			go func() { _ = server.Serve(peers.HTTP()) }()
			defer server.Close()
			f := ingress.NewForwarder(&peer.Dialer{Secret: secret})
			forward := func(path string) (*call.Response, *outcome.Refusal) {
				resp, _, refusal := f.Forward(ctx, peers.Addr().String(), &call.Call{
					Service: "pay", Method: http.MethodPost, Path: path, Deadline: time.Now().Add(3 * time.Second), IdempotencyKey: "k",
					IsBuffered: true, Buffered: []byte(body), Length: int64(len(body)),
					Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
				})
				return resp, refusal
			}
			resp, refusal := forward("/x")
			is.True(refusal == nil)
			_, _ = io.Copy(io.Discard, resp.Body)
			is.NoErr(resp.Body.Close())
			_, refusal = forward("/break")
			is.Equal(refusal.Outcome, outcome.Unknown)
			is.Equal(broken.Load(), int64(1))
		})
	}
}

// TestAnswerWithoutOutcome guards against passing on an answer of the peer's HTTP
// library as the target's answer, and against one to headers that are too long, which says
// that the request was not read, that leaves open whether it ran.
func TestAnswerWithoutOutcome(t *testing.T) {
	is := is.New(t)
	peers, err := peer.Listen("127.0.0.1:0", secret, nil, discardLog, nil)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go peers.Serve(ctx)
	server := &http.Server{Handler: http.NotFoundHandler(), MaxHeaderBytes: 4 << 10}
	go func() { _ = server.Serve(peers.HTTP()) }()
	defer server.Close()
	for padding, want := range map[int]outcome.Outcome{10: outcome.Unknown, 9 << 10: outcome.NotRun} {
		_, _, refusal := ingress.NewForwarder(&peer.Dialer{Secret: secret}).Forward(ctx, peers.Addr().String(), &call.Call{
			Service: "plain", Method: http.MethodGet, Path: "/", IsBuffered: true, Deadline: time.Now().Add(time.Second),
			Header: http.Header{"X-Padding": {strings.Repeat("x", padding)}},
		})
		is.True(refusal != nil)
		is.Equal(refusal.Outcome, want)
	}
}

// TestPaymentRecords guards against a second run for an idempotency key, with the
// same or another request, and against buffering bodies of any size.
func TestPaymentRecords(t *testing.T) {
	var runs atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, runs.Add(1))
	}))
	defer target.Close()
	large := bytes.Repeat([]byte("x"), 8*gate.DefaultMaxPaymentBody) // more than the buffers of a connection
	newFixture(t, "pay", target.Listener.Addr().String()).throughBoth(t, func(t *testing.T, base string) {
		is := is.New(t)
		before := runs.Load()
		key := "key-" + base
		var first []byte
		for i, c := range []struct {
			method, path string
			body         []byte
			status       int
			outcome      string
		}{
			{"POST", "/a%2Fb", []byte("1"), 200, "done"},
			{"POST", "/a%2Fb", []byte("1"), 200, "done"},
			{"POST", "/a%2Fb", []byte("2"), 422, "not-run"},
			{"POST", "/a%2Fb", nil, 422, "not-run"},
			{"POST", "/a/b", []byte("1"), 422, "not-run"},
			{"POST", "/a%2Fb?q", []byte("1"), 422, "not-run"},
			{"PUT", "/a%2Fb", []byte("1"), 422, "not-run"},
			{"POST", "/large", large, 400, "not-run"},
		} {
			resp, body, err := do(t, c.method, base+"/pay"+c.path, c.body, call.HeaderIdempotencyKey, key)
			is.NoErr(err)
			t.Log(i, resp.StatusCode, string(body))
			is.Equal(resp.StatusCode, c.status)
			is.Equal(outcomeOf(resp), c.outcome)
			if i == 0 {
				first = body
			} else if c.status == 200 {
				is.Equal(body, first) // the recorded answer
				is.Equal(resp.Header.Get(call.HeaderReplayed), "true")
			}
		}
		u, err := url.Parse(base)
		is.NoErr(err)
		raw := "POST /pay/x HTTP/1.1\r\nHost: " + u.Host + "\r\nConnection: close\r\nIdempotency-Key: c" + base + "\r\nTransfer-Encoding: chunked\r\n\r\n"
		chunk := "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"
		got := exchange(t, base, raw+strings.Repeat(chunk, 17)+"0\r\n\r\n", 3*time.Second)
		is.True(strings.Contains(got, "Bq-Outcome: not-run")) // a body without a stated length is bounded too
		is.Equal(runs.Load()-before, int64(1))
	})
}
