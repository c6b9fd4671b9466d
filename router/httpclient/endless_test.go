package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpclient"
)

// endlessTarget answers with head and then sends part again and again until the
// client closes the connection, which closed reports.
func endlessTarget(t *testing.T, head, part string) (address string, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, part)
		}
	}()
	return l.Addr().String(), done
}

// Guards against bytes without end that fill the memory, or occupy the connection and
// its slot until the deadline.
func TestBytesWithoutEnd(t *testing.T) {
	fill := strings.Repeat("x", 4096)
	ok := "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, part string }{
		"no answer":               {"", fill},
		"status line":             {"HTTP/1.1 200 ", fill},
		"header line":             {ok + "A: ", fill},
		"headers":                 {ok, "A: " + fill + "\r\n"},
		"informational answers":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"continue answers":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body until close":        {ok + "\r\n", fill},
		"chunks":                  {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + fill + "\r\n"},
		"chunk extension":         {ok + "Transfer-Encoding: chunked\r\n\r\n1;", fill},
		"chunk extensions":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + fill[:2000] + "\r\nx\r\n"},
		"trailer line":            {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", fill},
		"trailers":                {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + fill + "\r\n"},
		"answers to other ids":    {"", ok + "X-Id: 0\r\nContent-Length: 0\r\n\r\n"},
		"answers with other body": {"", ok + "X-Id: 0\r\nContent-Length: 4096\r\n\r\n" + fill},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, closed := endlessTarget(t, c.head, c.part)
			client := httpclient.New(httpclient.Config{Address: address, RequestIDHeader: "X-Id", DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20})
			var peak atomic.Uint64
			stop := make(chan struct{})
			go samplePeak(&peak, stop)
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := client.Do(ctx, request("1"))
			close(stop)
			var incomplete *httpclient.IncompleteResponseError
			is.True(errors.As(err, &incomplete))
			is.NoErr(ctx.Err()) // it ended long before the deadline
			is.True(peak.Load() < before.HeapAlloc+(16<<20))
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

func samplePeak(peak *atomic.Uint64, stop <-chan struct{}) {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak.Store(max(peak.Load(), m.HeapAlloc))
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
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
