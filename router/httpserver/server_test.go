package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/logging"
)

func start(t *testing.T, h httpserver.HandlerFunc) *httpserver.Server {
	t.Helper()
	s := httpserver.New(h, httpserver.DefaultLimits, logging.ForComponent(logging.New(io.Discard, "error", false), "httpserver"))
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go s.Run()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	return s
}

func dial(t *testing.T, s *httpserver.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// Guards against pipelined requests that are handled one after the other, and
// against responses out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	s := start(t, func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		if r.Path == "/2" {
			close(second)
		} else {
			<-second // the first request ends only when the second one is being handled
		}
		return httpserver.TextResponse(200, r.Path)
	})
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/1")+get("/2"))
	is.NoErr(err)
	for _, want := range []string{"/1\n", "/2\n"} {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), want)
	}
}

// Guards against a handler that keeps running after its caller has closed the
// connection: its context must be cancelled.
func TestCallerDisconnects(t *testing.T) {
	cancelled := make(chan struct{})
	entered := make(chan struct{})
	s := start(t, func(ctx context.Context, _ *httpserver.Request) *httpserver.Response {
		close(entered)
		<-ctx.Done()
		close(cancelled)
		return httpserver.TextResponse(504, "cancelled")
	})
	c, _ := dial(t, s)
	_, _ = io.WriteString(c, get("/")) // without the request the handler is not entered
	<-entered
	_ = c.Close()
	<-cancelled
}

// Guards against a drain that cuts off a request in progress, and against a
// connection that is closed without a Connection: close header.
func TestDrainClosesAfterLastResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	entered := make(chan struct{})
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		close(entered)
		<-release
		return httpserver.TextResponse(200, "whole")
	})
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	<-entered
	s.Drain()
	close(release)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.True(resp.Close)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole\n")
}

// Guards against pipelined requests that were read but are never answered
// because a drain begins while several are in progress.
func TestDrainAnswersPendingRequests(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int32
	release := make(chan struct{})
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		ran.Add(1)
		<-release
		return httpserver.TextResponse(200, "x")
	})
	c, br := dial(t, s)
	_, err := io.WriteString(c, strings.Repeat(get("/"), 5))
	is.NoErr(err)
	for ran.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	close(release)
	for i := range 5 {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body) // the next read fails otherwise
		is.Equal(resp.Close, i == 4)
	}
}

// Guards against connections that are opened during a drain and closed without
// a response: callers and peers learn of a planned stop with a delay.
func TestNewConnectionDuringDrain(t *testing.T) {
	is := is.New(t)
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return httpserver.TextResponse(200, "x")
	})
	s.Drain()
	for range 20 {
		c, br := dial(t, s)
		_, err := io.WriteString(c, get("/"))
		is.NoErr(err)
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.True(resp.Close)
	}
}

// Guards against a drain that closes an idle keep-alive connection before its
// next request, and against pipelined requests that arrive during the drain,
// behind a request in progress, and are not read.
func TestIdleConnectionDuringDrain(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 8), make(chan struct{}, 8)
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		entered <- struct{}{}
		<-release
		return httpserver.TextResponse(200, "x")
	})
	c, br := dial(t, s)
	read := func() *http.Response {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp
	}
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	release <- struct{}{}
	is.True(!read().Close)
	<-entered
	s.Drain()
	_, err = io.WriteString(c, get("/"))
	is.NoErr(err)
	<-entered
	_, err = io.WriteString(c, get("/")) // pipelined behind the one in progress
	is.NoErr(err)
	<-entered
	release <- struct{}{}
	is.True(!read().Close)
	release <- struct{}{}
	is.True(read().Close)
}

// Guards against a Shutdown that does not wait for a request because the server
// once had no connections since the drain began.
func TestShutdownWaitsForConnectionOpenedInDrain(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		close(entered)
		<-release
		return httpserver.TextResponse(200, "x")
	})
	s.Drain()
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	<-entered
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.Shutdown(context.Background())
	}()
	select {
	case <-closed:
		t.Fatal("Shutdown returned before the last response was written")
	case <-time.After(100 * time.Millisecond): // Shutdown returns at once if it does not wait
	}
	close(release)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	<-closed
}

// Guards against a Shutdown that keeps reading requests of a busy connection,
// that cuts off a request already read, or that waits for a handler whose
// caller has disconnected.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan string, 8), make(chan struct{}, 8)
	cancelled := make(chan struct{})
	s := start(t, func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
		entered <- r.Path
		if r.Path == "/disconnect" {
			<-ctx.Done()
			close(cancelled)
			return httpserver.TextResponse(504, "cancelled")
		}
		<-release
		return httpserver.TextResponse(200, "x")
	})
	idle, idleReader := dial(t, s)
	_, err := io.WriteString(idle, get("/"))
	is.NoErr(err)
	<-entered
	release <- struct{}{}
	_, err = http.ReadResponse(idleReader, nil)
	is.NoErr(err)
	busy, busyReader := dial(t, s)
	_, err = io.WriteString(busy, get("/"))
	is.NoErr(err)
	<-entered
	disconnecting, _ := dial(t, s)
	_, err = io.WriteString(disconnecting, get("/disconnect"))
	is.NoErr(err)
	<-entered

	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Shutdown(context.Background())
	}()
	_, err = io.Copy(io.Discard, idle) // the rest of its response, then EOF
	is.NoErr(err)
	// Shutdown interrupts the connections one after the other, and a request that arrives
	// before that is read and answered.
	time.Sleep(200 * time.Millisecond)
	_, _ = io.WriteString(busy, get("/late")) // may fail: it is not read
	_ = disconnecting.Close()
	<-cancelled
	release <- struct{}{}
	resp, err := http.ReadResponse(busyReader, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
	<-ended
	is.Equal(len(entered), 0)
}

// Guards against input that crashes the server or gets no response.
func TestMalformedRequests(t *testing.T) {
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return httpserver.TextResponse(200, "x")
	})
	tests := map[string]struct {
		input string
		want  int
	}{
		"no HTTP":      {"nonsense\r\n\r\n", 400},
		"long header":  {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 100<<10) + "\r\n\r\n", 431},
		"long body":    {fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<40), 413},
		"two lengths":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"chunked body": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, br := dial(t, s)
			_, _ = io.WriteString(c, test.input) // the error response may come before everything is sent
			resp, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.want)
		})
	}
}

// Guards against connections that stay open after the response although the caller has
// asked for their end, so that it waits for the end of the stream until the idle time-out.
func TestCallerAsksForClose(t *testing.T) {
	for name, head := range map[string]string{
		"close":        "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"another case": "GET / HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n",
		"list":         "GET / HTTP/1.1\r\nHost: h\r\nConnection: X-A, close\r\n\r\n",
		"two headers":  "GET / HTTP/1.1\r\nHost: h\r\nConnection: X-A\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":     "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
				return httpserver.TextResponse(200, "ok")
			})
			c, br := dial(t, s)
			is.NoErr(c.SetDeadline(time.Now().Add(2 * time.Second)))
			_, err := io.WriteString(c, head)
			is.NoErr(err)
			resp, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.True(resp.Close)
			_, err = br.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}
