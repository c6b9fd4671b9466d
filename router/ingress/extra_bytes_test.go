package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes behind the answer to one request that reach the next caller as the
// answer to its request.
func TestBytesBehindAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // the answer does not depend on it
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
					_, _ = io.WriteString(conn, answer+answer)
				}
			}()
		}
	}()
	fx := newFixture(t, "plain", l.Addr().String())
	fx.throughBoth(t, func(t *testing.T, base string) {
		const callers, requests = 16, 250
		var foreign atomic.Int64
		var running sync.WaitGroup
		for c := range callers {
			running.Go(func() {
				for i := range requests {
					path := fmt.Sprintf("/%d-%d", c, i)
					resp, body, err := do(t, http.MethodPost, base+"/plain"+path, []byte("b"))
					if err == nil && resp.StatusCode == http.StatusOK && string(body) != path {
						foreign.Add(1)
					}
				}
			})
		}
		running.Wait()
		is.New(t).Equal(foreign.Load(), int64(0))
	})
}
