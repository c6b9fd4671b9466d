package grantcall_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/grant"
	"bramleyquay.example/coord/ranges"
	"bramleyquay.example/router/grantcall"
	"bramleyquay.example/router/strictresponse/responseforms"
)

var format = grantcall.Format{
	GrantPath: "/grant", ReleasePath: "/release", HandoverHeader: "X-Handover", TargetHeader: "X-Target", RequestIDHeader: "X-Id",
	Body: func(c grant.Call) any { return c.Range.From },
}

func call(kind grant.CallKind) grant.Call {
	return grant.Call{Kind: kind, Target: "t", Range: ranges.Range{From: 7, To: 9, Fence: 3}}
}

func newClient(t *testing.T, h http.HandlerFunc) (*grantcall.Client, *httptest.Server) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return grantcall.New(s.Listener.Addr().String(), format), s
}

// Guards against answers whose meaning is confused: a refused fence, a call without
// effect, and a call that may have taken effect.
func TestOutcomes(t *testing.T) {
	for status, want := range map[int]grant.CallOutcome{
		200: grant.CallDone, 409: grant.CallFenced, 400: grant.CallRejected, 421: grant.CallRejected, 500: grant.CallLost,
	} {
		is := is.New(t)
		var path, target, body string
		c, _ := newClient(t, func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			path, target, body = r.URL.Path, r.Header.Get("X-Target"), string(text)
			w.Header().Set("X-Handover", "h")
			w.WriteHeader(status)
		})
		result := c.CallTarget(context.Background(), call(grant.ReleaseCall))
		is.Equal(result.Outcome, want)
		is.Equal([]string{path, target, body}, []string{"/release", "t", "7"})
		is.Equal(result.HandoverToken == "h", want == grant.CallDone)
		is.True(!result.ConnectionLost)
	}
}

// Guards against a call without an answer that counts as without effect, or as a sign
// that the target was restarted.
func TestNoAnswer(t *testing.T) {
	is := is.New(t)
	c, _ := newClient(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the context ends with the connection only after that
		<-r.Context().Done()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	result := c.CallTarget(ctx, call(grant.GrantCall))
	is.Equal(result.Outcome, grant.CallLost)
	is.True(!result.ConnectionLost)
}

// Guards against a grant that is sent to a target that was restarted since the last
// call: the end of the earlier connection is reported before one byte is sent.
func TestRestartedTargetIsNoticed(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	c, s := newClient(t, func(http.ResponseWriter, *http.Request) { calls.Add(1) })
	is.Equal(c.CallTarget(context.Background(), call(grant.GrantCall)).Outcome, grant.CallDone)
	s.CloseClientConnections()
	result := c.CallTarget(context.Background(), call(grant.GrantCall))
	is.Equal(result.Outcome, grant.CallNotSent)
	is.True(result.ConnectionLost)
	is.Equal(calls.Load(), int32(1))
	is.Equal(c.CallTarget(context.Background(), call(grant.GrantCall)).Outcome, grant.CallNotSent) // until the next announcement
	c.Resume()
	is.Equal(c.CallTarget(context.Background(), call(grant.GrantCall)).Outcome, grant.CallDone)
}

// Guards against a connection that ends without an answer and counts as a call without
// effect.
func TestConnectionEndsWithoutAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
	c := grantcall.New(l.Addr().String(), format)
	result := c.CallTarget(context.Background(), call(grant.GrantCall))
	is.Equal(result.Outcome, grant.CallLost)
	is.True(result.ConnectionLost)
	is.NoErr(l.Close())
	result = c.CallTarget(context.Background(), call(grant.GrantCall))
	is.Equal(result.Outcome, grant.CallNotSent)
	is.True(result.Refused)
}

// Guards against a malformed answer to a call that counts as the target's consent, or as a
// call without effect.
func TestMalformedAnswers(t *testing.T) {
	for _, form := range responseforms.Malformed() {
		t.Run(string(form.Part)+"/"+form.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := responseforms.Serve(t, func(conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, form.Text)
					_, _ = io.Copy(io.Discard, in) // until the client closes the connection
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			result := grantcall.New(address, format).CallTarget(ctx, call(grant.ReleaseCall))
			is.NoErr(ctx.Err()) // it was refused, not waited for
			is.Equal(result.Outcome, grant.CallLost)
		})
	}
}

// lateTarget answers each call, and sends its answer to the first call of a connection once
// more where the answer to the second one is expected. answer returns the bytes of the
// answer to a call of a path with an id.
func lateTarget(t *testing.T, answer func(path, id string) string) *grantcall.Client {
	t.Helper()
	address := responseforms.Serve(t, func(conn net.Conn, in *bufio.Reader) {
		first := ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text := answer(r.URL.Path, r.Header.Get("X-Id"))
			if _, err := io.WriteString(conn, first+text); err != nil {
				return
			}
			first = text
		}
	})
	return grantcall.New(address, format)
}

// Guards against the late copy of the answer to a grant that counts as the answer to the
// next call, a release: the keys would go to another target while this one is at work on
// them.
func TestLateCopyOfAnswer(t *testing.T) {
	for name, echo := range map[string]string{"with id": "X-Id: ", "without id": "X-Other: "} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := lateTarget(t, func(path, id string) string {
				text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + echo + id + "\r\n"
				if path == "/release" {
					text += "X-Handover: h\r\n"
				}
				return text + "\r\n"
			})
			is.Equal(c.CallTarget(context.Background(), call(grant.GrantCall)).Outcome, grant.CallDone)
			for range 3 {
				result := c.CallTarget(context.Background(), call(grant.ReleaseCall))
				is.Equal(result.Outcome, grant.CallDone)
				is.Equal(result.HandoverToken, "h")
			}
		})
	}
}

// Guards against a grant that is sent to a target that was restarted between two calls,
// although the connection of the first one was too old to be used again: its close still
// shows the restart.
func TestRestartAfterIdleTimeIsNoticed(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("Keep-Alive", "timeout=1")
	})
	c, s := newClient(t, h)
	for range 2 {
		is.Equal(c.CallTarget(context.Background(), call(grant.GrantCall)).Outcome, grant.CallDone)
		time.Sleep(700 * time.Millisecond) // longer than the connection can be used
	}
	is.Equal(calls.Load(), int32(2))
	s.CloseClientConnections() // the target ends, and is back at the same address
	for range 2 {
		result := c.CallTarget(context.Background(), call(grant.GrantCall))
		is.Equal(result.Outcome, grant.CallNotSent)
		is.True(result.ConnectionLost)
	}
	is.Equal(calls.Load(), int32(2))
	c.Resume()
	is.Equal(c.CallTarget(context.Background(), call(grant.GrantCall)).Outcome, grant.CallDone)
}
