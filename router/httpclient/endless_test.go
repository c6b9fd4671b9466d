package httpclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/memory/heappeak"
	"bramleyquay.example/router/strictresponse/responseforms"
)

// Guards against bytes without end that fill the memory, or occupy the connection and
// its slot until the deadline.
func TestBytesWithoutEnd(t *testing.T) {
	const length = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: "
	forms := append(responseforms.Endless(),
		responseforms.EndlessForm{Name: "continue answers", Part: "HTTP/1.1 100 Continue\r\n\r\n"},
		responseforms.EndlessForm{Name: "answers to other ids", Part: length + "0\r\n\r\n"},
		responseforms.EndlessForm{Name: "answers with other body", Part: length + "4096\r\n\r\n" + strings.Repeat("x", 4096)},
	)
	for _, form := range forms {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			address, awaitClosed := form.Serve(t)
			client := httpclient.New(httpclient.Config{Address: address, RequestIDHeader: "X-Id", DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20})
			growth := heappeak.Measure(5 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := client.Do(ctx, request("1"))
			grown := growth()
			var incomplete *httpclient.IncompleteResponseError
			is.True(errors.As(err, &incomplete))
			is.NoErr(ctx.Err()) // it ended long before the deadline
			is.True(grown < 16<<20)
			awaitClosed()
		})
	}
}

// Guards against one byte a second that occupies a connection beyond the deadline.
func TestTrickleEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		for err == nil {
			_, err = io.WriteString(c, "H")
			time.Sleep(50 * time.Millisecond)
		}
	}()
	client := httpclient.New(httpclient.Config{Address: l.Addr().String(), DialTimeout: 10 * time.Second, MaxBody: 1 << 20})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err = client.Do(ctx, request("1"))
	is.True(err != nil)
	is.True(time.Since(start) < 5*time.Second)
}

// FuzzResponse looks for bytes of a target that make the client panic, hang or accept
// an answer that broke off.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		response("1", "ok"), "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 100 Continue\r\n\r\n" + response("1", "a"),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\nx",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client := httpclient.New(httpclient.Config{Address: serveAnswer(t, answer, false), RequestIDHeader: "X-Id", DialTimeout: 10 * time.Second, MaxBody: 1 << 16})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		resp, err := client.Do(ctx, request("1"))
		if ctx.Err() != nil {
			t.Fatalf("no end after %q", answer)
		}
		if err == nil && resp.Header.Get("Content-Length") != "" && resp.Header.Get("Transfer-Encoding") == "" &&
			resp.Status >= 200 && resp.Status != 204 && resp.Status != 304 && resp.Header.Get("Content-Length") != lengthOf(resp.Body) {
			t.Errorf("body of %d bytes accepted with Content-Length %q", len(resp.Body), resp.Header.Get("Content-Length"))
		}
	})
}
