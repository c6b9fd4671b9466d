package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/strictresponse"
	"bramleyquay.example/router/strictresponse/responseforms"
)

// Guards against malformed responses that count as the answers to requests, and against a
// connection that is used again after one.
func TestMalformedResponses(t *testing.T) {
	for _, form := range responseforms.Malformed() {
		t.Run(string(form.Part)+"/"+form.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, form.Text)
				}
			})
			for _, id := range []string{"1", "2"} {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				resp, err := c.Do(ctx, request(id))
				if err == nil {
					t.Fatalf("accepted: status %d, header %q, body %q", resp.Status, resp.Header, resp.Body)
				}
				is.NoErr(ctx.Err()) // it was refused, not waited for
				var incomplete *httpclient.IncompleteResponseError
				is.True(errors.As(err, &incomplete)) // the request may have run
				var malformed *strictresponse.FormatError
				is.True(errors.As(err, &malformed))
			}
			is.Equal(c.ConnectionsOpened(), uint64(2))
		})
	}
}

// Guards against valid responses that are refused.
func TestValidResponses(t *testing.T) {
	for _, form := range responseforms.Valid() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, form.Text)
					_, _ = br.ReadByte() // until the client closes the connection
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			resp, err := c.Do(ctx, request("1"))
			is.NoErr(err)
			is.True(string(resp.Body) == "hello" || !strings.HasSuffix(form.Text, "hello"))
		})
	}
}

// Guards against a request on a connection on which bytes that are no response have arrived
// behind the last response: it would fail although the server can answer it.
func TestMalformedBytesBehindResponse(t *testing.T) {
	for name, behind := range map[string]string{
		"line": "garbage\r\n", "empty line": "\r\n", "line feed": "\n", "part of a line": "garbage", "malformed response": "HTTP/1.1 000 None\r\n\r\n",
		"late copy": response("1", "ok"), "malformed late copy": "HTTP/1.1 200 OK\r\nX-Id : 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startTarget(t, func(conn, _ int) (string, bool) {
				if conn == 0 {
					return response("1", "ok") + behind, false
				}
				return response("2", "ok"), false
			})
			for _, id := range []string{"1", "2"} {
				resp, err := c.Do(context.Background(), request(id))
				is.NoErr(err)
				is.Equal(string(resp.Body), "ok")
			}
			is.Equal(c.ConnectionsOpened(), uint64(2))
		})
	}
}
