package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpserver"
)

// Guards against an answer that is cut off because its caller pauses reading: the window
// of the connection is closed in that time, but the caller is reachable.
func TestCallerThatPausesReading(t *testing.T) {
	is := is.New(t)
	const size = 16 << 20 // more than all buffers between the two
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return &httpserver.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	})
	c, br := dial(t, s)
	_, err := fmt.Fprint(c, get("/"))
	is.NoErr(err)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 4096))
	is.NoErr(err)
	time.Sleep(2500 * time.Millisecond)
	rest, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(rest, int64(size-4096))
}

// Guards against a long response that is cut off because its caller reads it slowly, but
// does not pause.
func TestCallerThatReadsSlowly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size, part, pause = 24 << 20, 200 << 10, 100 * time.Millisecond // 12.3 s
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return &httpserver.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	})
	c, br := dial(t, s)
	_, err := fmt.Fprint(c, get("/"))
	is.NoErr(err)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	total, begin := int64(0), time.Now()
	for i := time.Duration(1); err == nil; i++ {
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, part)
		total += n
		time.Sleep(time.Until(begin.Add(i * pause)))
	}
	is.Equal(err, io.EOF)
	is.Equal(total, int64(size))
}

// Guards against a response that is destroyed by a reset because its caller pauses reading
// and goes on sending on the connection that is closed after it.
func TestCallerThatReadsAfterClose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = 16 << 20 // more than all buffers between the two
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return &httpserver.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	})
	s.Drain()
	c, br := dial(t, s)
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(64 << 10))
	_, err := fmt.Fprint(c, get("/"))
	is.NoErr(err)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.True(resp.Close)
	read, err := io.CopyN(io.Discard, resp.Body, size-(1<<20)) // all is in the buffers then
	is.NoErr(err)
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		_, err = fmt.Fprint(c, get("/")) // the caller has not noticed the close
		is.NoErr(err)
	}
	rest, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(read+rest, int64(size))
}

// Guards against the refusal of a body that its caller never gets, because the connection
// is reset while the body is still being sent.
func TestRefusalOfSlowUpload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startUploadServer(t, false, func(context.Context, *httpserver.Request) *httpserver.Response {
		return httpserver.TextResponse(503, "refused")
	})
	const size = 900 << 10
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	is.NoErr(err)
	for range 45 {
		_, err = c.Write(make([]byte, size/45))
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
}
