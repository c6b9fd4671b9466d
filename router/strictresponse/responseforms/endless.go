package responseforms

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// EndlessForm is a response without end: Head, and then Part again and again.
type EndlessForm struct{ Name, Head, Part string }

// Endless lists responses of which each part has no end.
func Endless() []EndlessForm {
	fill := strings.Repeat("x", 4096)
	return []EndlessForm{
		{Name: "no answer", Part: fill},
		{Name: "status line", Head: "HTTP/1.1 200 ", Part: fill},
		{Name: "header line", Head: ok + "A: ", Part: fill},
		{Name: "headers", Head: ok, Part: "A: " + fill + "\r\n"},
		{Name: "informational answers", Part: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{Name: "body until close", Head: ok + "\r\n", Part: fill},
		{Name: "chunks", Head: chunked, Part: "1000\r\n" + fill + "\r\n"},
		{Name: "chunk extension", Head: chunked + "1;", Part: fill},
		{Name: "chunk extensions", Head: chunked, Part: "1;" + fill[:2000] + "\r\nx\r\n"},
		{Name: "trailer line", Head: chunked + "0\r\nA: ", Part: fill},
		{Name: "trailers", Head: chunked + "0\r\n", Part: "A: " + fill + "\r\n"},
	}
}

// Serve starts a server that sends the response to the request of each connection, until
// the client closes the connection. awaitClosed fails the test if a connection is open 10 s
// later.
func (f *EndlessForm) Serve(t testing.TB) (address string, awaitClosed func()) {
	t.Helper()
	var open atomic.Int64
	address = Serve(t, func(conn net.Conn, in *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the response does not depend on it
		_, err = io.WriteString(conn, f.Head)
		for part := []byte(f.Part); err == nil; {
			_, err = conn.Write(part)
		}
	})
	return address, func() {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); open.Load() > 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("%d connections stay open", open.Load())
				return
			}
		}
	}
}
