package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"bramleyquay.example/router/logging"
)

// startConn starts a server and opens a connection to it.
func startConn(t *testing.T, create func(Handler, func() Limits, logging.Logger) *Server, h HandlerFunc) (*Server, net.Conn, *bufio.Reader) {
	is := is.New(t)
	s := create(h, DefaultLimits, logging.ForComponent(&log.Logger{Level: log.ErrorLevel}, "test"))
	is.NoErr(s.Listen("127.0.0.1:0"))
	go s.Run()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	c, err := net.Dial("tcp", s.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() }) // the test has ended
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	return s, c, bufio.NewReader(c)
}

// readStatus reads a response, which may be 100 Continue, and returns its status.
func readStatus(is *is.I, br *bufio.Reader) int {
	is.Helper()
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	return resp.StatusCode
}

const expectingHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"

// Guards against connections that are closed instead of asking for a body because the
// write deadline of an earlier response has passed.
func TestContinueAfterIdleTime(t *testing.T) {
	for name, create := range map[string]func(Handler, func() Limits, logging.Logger) *Server{"callers": New, "peers": NewForPeers} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, c, br := startConn(t, create, func(_ context.Context, r *Request) *Response {
				if r.Upload != nil {
					if body, err := r.Upload.Open(); err == nil {
						r.Body, _ = io.ReadAll(body) // a part shows in the response
					}
				}
				return TextResponse(200, string(r.Body))
			})
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			is.Equal(readStatus(is, br), 200)
			s.mu.Lock()
			for conn := range s.conns {
				// As if the connection had been idle for longer than writeTimeout.
				is.NoErr(conn.raw.SetWriteDeadline(time.Now().Add(-time.Millisecond)))
			}
			s.mu.Unlock()
			_, err = io.WriteString(c, expectingHead)
			is.NoErr(err)
			is.Equal(readStatus(is, br), 100)
			_, err = io.WriteString(c, "body")
			is.NoErr(err)
			is.Equal(readStatus(is, br), 200)
		})
	}
}

// Guards against 100 Continue that is written before or within the response to an earlier
// request of the connection, against waiting for such a response without need, and against
// a stop that waits for a body that was not asked for.
func TestContinueBehindEarlierRequest(t *testing.T) {
	for name, c := range map[string]struct {
		sendsBody, stops bool
		want             []int
	}{
		"caller waits":        {want: []int{200, 100, 200}},
		"caller sends body":   {sendsBody: true, want: []int{200, 200}},
		"server stops before": {stops: true, want: []int{200}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release, posted := make(chan struct{}), make(chan struct{}, 1)
			s, raw, br := startConn(t, New, func(_ context.Context, r *Request) *Response {
				if r.Method == http.MethodPost {
					posted <- struct{}{}
					return TextResponse(200, string(r.Body))
				}
				<-release
				return TextResponse(200, "first")
			})
			head := "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + expectingHead
			if c.sendsBody {
				head += "body"
			}
			_, err := io.WriteString(raw, head)
			is.NoErr(err)
			if c.sendsBody {
				<-posted // it runs while the first request does
			}
			time.Sleep(100 * time.Millisecond) // the head has been read
			stopped := make(chan struct{})
			if c.stops {
				go func() { defer close(stopped); s.Shutdown(t.Context()) }()
				time.Sleep(100 * time.Millisecond) // the head is being read when the response is ready
			}
			close(release)
			for i, want := range c.want {
				if i == 2 {
					_, err := io.WriteString(raw, "body")
					is.NoErr(err)
				}
				is.Equal(readStatus(is, br), want)
			}
			if c.stops {
				_, err := br.ReadByte()
				is.Equal(err, io.EOF)
				is.NoErr(raw.Close())
				<-stopped
			}
		})
	}
}
