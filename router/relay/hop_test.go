package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/logging"
)

// FuzzHop guards against names and reasons that are changed between two processes, or that
// change what the other process reads beside them.
func FuzzHop(f *testing.F) {
	f.Add("deposits", "r-deposits;2", "orders", "no target")
	f.Add("a%3Bb", " r\r\nX-Y: 1", "ü;\x00", "broke off: \"HTTP/1.1\r\n\x1b;\xff")
	f.Fuzz(func(t *testing.T, service, route, caller, reason string) {
		is := is.New(t)
		now := time.Now()
		sent := &routedRequest{service: service, route: route, caller: caller, priority: 2, sharded: true, key: 7, objective: now, deadline: now.Add(time.Second), version: 9, noWait: true}
		values := encodeRouting(sent, now)
		got, err := decodeRouting(onWire(values), &httpserver.Request{Header: http.Header{}, Received: now}, "id")
		is.NoErr(err)
		is.Equal([]string{got.service, got.route, got.caller}, []string{service, route, caller})
		is.Equal([]any{got.priority, got.key, got.version, got.noWait, got.deadline.Equal(sent.deadline)}, []any{2, uint16(7), uint64(9), true, true})
		is.True(len(strings.Join(values, "")) <= 3*(len(service)+len(route)+len(caller))+256) // MaxHopHeaderBytes

		refusal := result{outcome: notRun, reason: reason, retryAfter: time.Second, load: &balancer.GateLoad{Running: 1, Limit: 2, Queued: 3, Weight: 4}}
		decoded, ok := decodeHop(onWire(hopValues(refusal)))
		is.True(ok)
		is.Equal(decoded.reason, reason)
		is.Equal([]any{decoded.outcome, decoded.retryAfter, *decoded.load}, []any{notRun, time.Second, *refusal.load})
	})
}

// onWire returns the values as a server reads them, or nothing if one cannot be sent.
func onWire(values []string) []string {
	out := make([]string, 0, len(values))
	for _, v := range values {
		if !httpguts.ValidHeaderFieldValue(v) {
			return nil
		}
		out = append(out, strings.Trim(v, " \t"))
	}
	return out
}

// Guards against processes of two builds that do not understand each other while they are
// restarted one after the other: what the earlier build sends is read as it meant it, and it
// can read what it could read from its own build.
func TestHopOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	req := &routedRequest{service: "a b%3Bü", route: "r;2", caller: "c", objective: now, deadline: now}
	got, err := decodeRouting([]string{"a b%3Bü;r%20,2;0;;c;0;0;1;false"}, &httpserver.Request{Header: http.Header{}, Received: now}, "")
	is.NoErr(err)
	is.Equal([]string{got.service, got.route, got.caller}, []string{"a b%3Bü", "r%20,2", "c"})
	// Only the route, which that build writes to its log, is encoded.
	is.Equal(encodeRouting(req, now), []string{"a b%3Bü;r%3B2;0;;c;0;0;0;false", "percent-encoded=route"})
	_, err = decodeRouting([]string{"a;b;r;0;;c;0;0;1;false"}, &httpserver.Request{Header: http.Header{}, Received: now}, "")
	is.True(err != nil) // it does not encode a semicolon

	first, ok := decodeResult(hopValues(result{outcome: unknown, reason: "a;\r\nb"})[0])
	is.True(ok)
	is.Equal(first.reason, "a,  b")
	for status, want := range map[int]outcome{400: notRun, 431: notRun, 413: "", 200: "", 502: ""} {
		r, _ := hopResult(&httpclient.Response{Status: status, Header: http.Header{}})
		is.Equal(r.outcome, want)
	}
}

// Guards against a line break in a text that adds a header or a request, and against a
// target that counts as unreachable because one request cannot be written.
func TestTextsThatNoHeadCanCarry(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	address := server.Listener.Addr().String()
	p := newPeers(DefaultHeaderNames, func(string) string { return address })
	for name, change := range map[string]func(*routedRequest){
		"value":  func(r *routedRequest) { r.header.Set("X-A", "1\r\nX-B: 2") },
		"name":   func(r *routedRequest) { r.header["X-A: 1\r\nX-B"] = []string{"2"} },
		"host":   func(r *routedRequest) { r.request.Host = "h\r\n\r\nGET /second HTTP/1.1" },
		"path":   func(r *routedRequest) { r.request.URI = "/ HTTP/1.1\r\nX-B: 2\r\n\r\nGET /second" },
		"method": func(r *routedRequest) { r.request.Method = "GET /second HTTP/1.1\r\n\r\nGET" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req := &routedRequest{request: &httpserver.Request{Method: "GET", URI: "/", Host: "h"}, header: http.Header{}, deadline: time.Now().Add(time.Second)}
			change(req)
			r := p.do(t.Context(), "p", req)
			is.Equal(r.outcome, notRun)
			is.True(strings.Contains(r.reason, "invalid request"))
			is.True(!p.isAvoided("p"))
			is.Equal(requests.Load(), int32(0))
		})
	}
}

// Guards against a refusal of a head that was not read, which has no id, and is taken on a
// connection that has carried other requests for an answer that leaves open what ran.
func TestUnreadHeadHasNotRun(t *testing.T) {
	is := is.New(t)
	log := logging.ForComponent(logging.New(io.Discard, "error", false), "gate")
	g := &Gate{queue: newBlockingQueue(1), names: DefaultHeaderNames, log: log, agent: fleetagent.New(fleetagent.Config{}, leaderclient.New(nil, nil), log)}
	s := httpserver.NewForPeers(httpserver.HandlerFunc(g.ServePeer), func() httpserver.Limits {
		l := httpserver.DefaultLimits()
		l.HeaderBytes = 8 << 10
		return l
	}, log)
	s.SetRefusal(g.RefusePeer)
	is.NoErr(s.Listen("127.0.0.1:0"))
	go s.Run()
	defer s.Shutdown(t.Context())
	p := newPeers(DefaultHeaderNames, func(string) string { return s.Addr().String() })
	send := func(id string, padding int) result {
		req := &routedRequest{request: &httpserver.Request{Method: "POST", URI: "/", Host: "h"}, id: id, header: http.Header{"Bq-Request-Id": {id}}, deadline: time.Now().Add(5 * time.Second)}
		req.header.Set("X-Padding", strings.Repeat("x", padding))
		return p.do(t.Context(), "p", req)
	}
	for i, padding := range []int{10, 16 << 10, 10, 16 << 10} {
		r := send(fmt.Sprint("id", i), padding) // on the same connection, if it is open
		is.Equal(r.outcome, notRun)
		is.True(!r.reached)
		is.Equal(strings.HasPrefix(r.reason, reasonUnreadable), padding > 10)
		is.True(!p.isAvoided("p"))
	}
}
