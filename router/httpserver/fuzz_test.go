package httpserver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/logging"
)

// FuzzRequest looks for bytes of a caller that make the server panic or hang, or pass on
// a line end in a request line, or two lengths of a body.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		"GET / HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n", "\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	violations := make(chan string, 100)
	handle := func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		if strings.ContainsAny(r.URI, "\r\n ") || strings.ContainsAny(r.Host, "\r\n") {
			violations <- fmt.Sprintf("line end passed on: %q at %q", r.URI, r.Host)
		}
		if length := r.Header.Get("Content-Length"); length != "" && r.Header.Get("Transfer-Encoding") != "" {
			violations <- fmt.Sprintf("two lengths passed on: %q", r.Header)
		}
		return httpserver.TextResponse(200, "ok")
	}
	s := httpserver.New(httpserver.HandlerFunc(handle), httpserver.DefaultLimits, logging.ForComponent(logging.New(io.Discard, "error", false), "edge"))
	if err := s.Listen("127.0.0.1:0"); err != nil {
		f.Fatal(err)
	}
	go s.Run()
	f.Fuzz(func(t *testing.T, sent []byte) {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			_ = c.(*net.TCPConn).SetLinger(0) // the ports are needed again soon
			_ = c.Close()
		}()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = c.Write(sent) // the server may have closed the connection
		_ = c.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatalf("no end after %q", sent)
		}
		select {
		case text := <-violations:
			t.Fatalf("%s after %q", text, sent)
		default:
		}
	})
}
