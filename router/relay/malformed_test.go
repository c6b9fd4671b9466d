package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/strictresponse/responseforms"
)

// rawGate sends the same bytes to each request and keeps its connections open.
func rawGate(t *testing.T, text string) (address string) {
	return responseforms.Serve(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, text)
		}
	})
}

// Guards against a malformed answer of another process that counts as the answer of its
// target, or as a sign that the request did not run.
func TestMalformedAnswerOfPeer(t *testing.T) {
	hop := "Bq-Hop: " + hopValues(result{outcome: done, reached: true})[0] + "\r\n"
	notRunHop := "Bq-Hop: " + hopValues(refused(reasonNoTarget, time.Second))[0] + "\r\n"
	const length = "Content-Length: 5\r\n"
	for name, text := range map[string]string{
		"status 000":                  "HTTP/1.1 000 None\r\n" + hop + length + "\r\nhello",
		"blank in a name":             "HTTP/1.1 200 OK\r\n" + hop + "X Y: 1\r\n" + length + "\r\nhello",
		"folded line":                 "HTTP/1.1 200 OK\r\n" + hop + "X-Y: 1\r\n " + length + "\r\nhello",
		"two framings":                "HTTP/1.1 200 OK\r\n" + hop + length + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"refusal with status 000":     "HTTP/1.1 000 None\r\n" + notRunHop + length + "\r\nhello",
		"refusal, blank behind names": "HTTP/1.1 503 Busy\r\n" + notRunHop + "X-Y : 1\r\n" + length + "\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := rawGate(t, text)
			p := newPeers(DefaultHeaderNames, func(string) string { return address })
			req := &routedRequest{request: &httpserver.Request{Method: "POST", URI: "/", Host: "h"}, header: http.Header{}, deadline: time.Now().Add(10 * time.Second)}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for range 2 {
				r := p.do(ctx, "p", req)
				is.NoErr(ctx.Err()) // it was refused, not waited for
				is.Equal(r.outcome, unknown)
				is.True(r.reached)
				is.True(r.response == nil)
			}
			is.Equal(p.client("p").ConnectionsOpened(), uint64(2))
		})
	}
}
