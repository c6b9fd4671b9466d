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

// startWith starts a server with other limits than the default ones.
func startWith(t *testing.T, change func(*httpserver.Limits), h httpserver.HandlerFunc) *httpserver.Server {
	t.Helper()
	limits := httpserver.DefaultLimits()
	change(&limits)
	s := httpserver.New(h, func() httpserver.Limits { return limits }, logging.ForComponent(logging.New(io.Discard, "error", false), "httpserver"))
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go s.Run()
	t.Cleanup(func() { s.Shutdown(t.Context()) })
	return s
}

// echo answers with the path, after the time that it names.
func echo(ctx context.Context, r *httpserver.Request) *httpserver.Response {
	if wait, err := time.ParseDuration(strings.TrimPrefix(r.Path, "/")); err == nil {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return httpserver.TextResponse(200, r.Path)
}

// readAll reads responses until the end of the connection. It returns their bodies and
// whether the last one closes the connection.
func readAll(c net.Conn, br *bufio.Reader) (paths []string, closes bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return nil, false, err
	}
	for {
		if _, err := br.Peek(1); err != nil {
			return paths, closes, err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return paths, closes, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return paths, closes, err
		}
		paths, closes = append(paths, strings.TrimSpace(string(body))), resp.Close
	}
}

// Guards against a connection that ends for idleness while its requests run, or right
// after a late response, and thereby loses the next request.
func TestRunningRequestKeepsConnection(t *testing.T) {
	is := is.New(t)
	const idle = 300 * time.Millisecond
	s := startWith(t, func(l *httpserver.Limits) { l.IdleTimeout = idle }, echo)
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/500ms"))
	is.NoErr(err)
	time.Sleep(400 * time.Millisecond)
	_, err = io.WriteString(c, get("/10ms")) // while the first one runs
	is.NoErr(err)
	time.Sleep(250 * time.Millisecond)
	_, err = io.WriteString(c, get("/11ms")) // 150 ms after the responses
	is.NoErr(err)
	paths, _, err := readAll(c, br)
	is.Equal(err, io.EOF)
	is.Equal(paths, []string{"/500ms", "/10ms", "/11ms"})
}

// Guards against a connection that ends after a header time-out without saying so in its
// last response.
func TestLastResponseAfterHeaderTimeout(t *testing.T) {
	is := is.New(t)
	s := startWith(t, func(l *httpserver.Limits) { l.HeaderTimeout = 100 * time.Millisecond }, echo)
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/300ms")+get("/10ms")+"GET /half HTTP/1.1\r\n")
	is.NoErr(err)
	paths, closes, err := readAll(c, br)
	is.Equal(err, io.EOF)
	is.Equal(paths, []string{"/300ms", "/10ms"})
	is.True(closes)
}

// Guards against a request that a draining server reads while the response before it is
// written, and that gets no response, and against a connection that outlasts Shutdown
// because a request is never sent whole.
func TestRequestReadWhileDraining(t *testing.T) {
	is := is.New(t)
	s := start(t, echo)
	s.Drain()
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/100ms")+"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond) // the first response is written
	_, err = io.WriteString(c, "dy")
	is.NoErr(err)
	paths, closes, err := readAll(c, br)
	is.Equal(err, io.EOF)
	is.Equal(paths, []string{"/100ms", "/b"})
	is.True(closes)

	c, br = dial(t, s)
	_, err = io.WriteString(c, get("/600ms")+"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	s.Shutdown(t.Context())
	paths, closes, err = readAll(c, br)
	is.Equal(err, io.EOF)
	is.Equal(paths, []string{"/600ms"})
	is.True(closes)
}

// Guards against a request that is rejected by the limits that were in force when its
// connection became idle.
func TestLimitsOfOpenConnection(t *testing.T) {
	is := is.New(t)
	var limit atomic.Int64
	limit.Store(1 << 10)
	limits := func() httpserver.Limits {
		l := httpserver.DefaultLimits()
		l.HeaderBytes = limit.Load()
		return l
	}
	s := httpserver.New(httpserver.HandlerFunc(echo), limits, logging.ForComponent(logging.New(io.Discard, "error", false), "edge"))
	is.NoErr(s.Listen("127.0.0.1:0"))
	go s.Run()
	defer s.Shutdown(t.Context())
	c, br := dial(t, s)
	status := func(size int) int {
		_, err := fmt.Fprintf(c, "GET /1ms HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", size))
		is.NoErr(err)
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(status(100), 200)
	time.Sleep(50 * time.Millisecond) // the connection is idle
	limit.Store(16 << 10)
	is.Equal(status(10<<10), 200)
	time.Sleep(50 * time.Millisecond)
	limit.Store(1 << 10)
	is.Equal(status(10<<10), 431)
}
