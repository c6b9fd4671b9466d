package httpserver_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/logging"
)

// stopRound sends pipelined requests on several connections around the moment at which
// a server stops, and returns the ids that were handled and those that were answered.
func stopRound(t *testing.T, rng *rand.Rand) (handled, answered map[string]bool) {
	var mu sync.Mutex
	handled, answered = map[string]bool{}, map[string]bool{}
	s := start(t, func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		mu.Lock()
		handled[strings.TrimPrefix(r.Path, "/")] = true
		mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		return httpserver.TextResponse(200, strings.TrimPrefix(r.Path, "/"))
	})
	var callers sync.WaitGroup
	stopAt := time.Now().Add(20 * time.Millisecond)
	for i := range 20 {
		c, br := dial(t, s)
		wait := time.Until(stopAt) + time.Duration(rng.Int64N(int64(4*time.Millisecond))) - 2*time.Millisecond
		callers.Go(func() {
			time.Sleep(wait)
			for j := range 3 {
				if _, err := io.WriteString(c, get(fmt.Sprintf("/%d-%d", i, j))); err != nil {
					return // the server has closed the connection
				}
			}
		})
		callers.Go(func() {
			for {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					return
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					return
				}
				mu.Lock()
				answered[strings.TrimSpace(string(body))] = true
				mu.Unlock()
				if resp.Close {
					return
				}
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	s.Drain()
	time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Millisecond))))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s.Shutdown(ctx)
	callers.Wait()
	return handled, answered
}

// Guards against requests that are handled and not answered because they arrive in the
// moment in which the server stops.
func TestRequestsInTheMomentOfAStop(t *testing.T) {
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for round := range 12 {
		handled, answered := stopRound(t, rng)
		total += len(handled)
		for id := range handled {
			if !answered[id] {
				t.Errorf("round %d of seed %d: request %s was handled and not answered", round, seed, id)
			}
		}
	}
	if total == 0 {
		t.Error("no request was handled")
	}
	t.Logf("%d requests handled", total)
}

// Guards against a body that is being passed on and broken off by the stop of the server,
// before the time in which requests are ended.
func TestUploadDuringShutdown(t *testing.T) {
	is := is.New(t)
	const size = 2 * httpserver.InlineBodyBytes
	s := start(t, func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		body, err := r.Upload.Open()
		if err != nil {
			return httpserver.TextResponse(500, err.Error())
		}
		n, err := io.Copy(io.Discard, body)
		return httpserver.TextResponse(200, fmt.Sprint(n, err))
	})
	c, br := dial(t, s)
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size/2))
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the handler waits for the rest
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.Shutdown(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	_, err = c.Write(make([]byte, size/2))
	is.NoErr(err)
	paths, closes, err := readAll(c, br)
	is.Equal(err, io.EOF)
	is.Equal(paths, []string{fmt.Sprint(size, " <nil>")})
	is.True(closes)
	is.NoErr(c.Close())
	<-stopped
}

// Guards against a request of another process that arrives while its connection is closed
// as idle, and whose sender cannot tell that it was not read.
func TestPeerLearnsThatRequestWasNotRead(t *testing.T) {
	is := is.New(t)
	s := httpserver.NewForPeers(httpserver.HandlerFunc(echo), httpserver.DefaultLimits, logging.ForComponent(logging.New(io.Discard, "error", false), "edge"))
	is.NoErr(s.Listen("127.0.0.1:0"))
	go s.Run()
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/a"))
	is.NoErr(err)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	go s.Shutdown(t.Context())
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(c, get("/b"))
	is.NoErr(err)
	resp, err = http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(httpserver.HeaderUnread), "1")
	is.True(resp.Close)
}

// Guards against requests behind the limit of pipelined ones that are read and get no
// response in a stop, and against a stop that waits for a reader at that limit.
func TestPipelineBeyondLimitInStop(t *testing.T) {
	is := is.New(t)
	s := start(t, func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
		if r.Path == "/0" {
			<-ctx.Done()
			is.Equal(context.Cause(ctx), httpserver.ErrStopping)
		}
		return httpserver.TextResponse(200, r.Path)
	})
	c, br := dial(t, s)
	const requests = 80
	text := ""
	for i := range requests {
		text += get(fmt.Sprint("/", i))
	}
	_, err := io.WriteString(c, text) // one segment, which the reader has in its buffer
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	go s.Shutdown(t.Context())
	time.Sleep(200 * time.Millisecond)
	s.EndRequests()
	paths, closes, err := readAll(c, br)
	is.Equal(err, io.EOF)
	is.True(closes)
	is.Equal(len(paths), requests)
	for i, p := range paths {
		is.Equal(p, fmt.Sprint("/", i))
	}
}

// Guards against a request that is called malformed, and so gets a final response, because
// the server stops or the header time-out passes in the middle of a line of its head or at
// the end of its chunked body.
func TestReadingEndsInTheMiddle(t *testing.T) {
	const head = "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, part := range []string{
		"P", "POST /b", "POST /b HTTP/1.", "POST /b HTTP/1.1\r\nHos", "POST /b HTTP/1.1\r\nHost: h\r\n",
		head + "5\r\nhel", head + "5\r\nhello\r\n", head + "5\r\nhello\r\n0\r\n", head + "5\r\nhello\r\n0\r\n\r", head + "5\r\nhello\r\n0\r\nX-Trailer: a\r\n",
	} {
		t.Run(fmt.Sprintf("%q", strings.TrimPrefix(part, head)), func(t *testing.T) {
			is := is.New(t)
			s := start(t, echo)
			c, br := dial(t, s)
			_, err := io.WriteString(c, part)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond) // the part has been read
			stopped := make(chan struct{})
			go func() { defer close(stopped); s.Shutdown(t.Context()) }()
			_, err = http.ReadResponse(br, nil)
			is.Equal(err, io.ErrUnexpectedEOF) // no response
			is.NoErr(c.Close())
			<-stopped
		})
	}
	t.Run("header time-out", func(t *testing.T) {
		is := is.New(t)
		s := startWith(t, func(l *httpserver.Limits) { l.HeaderTimeout = 50 * time.Millisecond }, echo)
		c, br := dial(t, s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHos")
		is.NoErr(err)
		_, err = http.ReadResponse(br, nil)
		is.Equal(err, io.ErrUnexpectedEOF) // no response
	})
}

// Guards against a last response that is lost because Shutdown ends the wait for the caller
// to close its side: bytes that arrive after that make the kernel send a reset, which
// discards what the caller has not read yet.
func TestShutdownLeavesLastResponse(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 20000)
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return httpserver.TextResponse(200, body)
	})
	s.Drain()
	c, br := dial(t, s)
	_, err := io.WriteString(c, get("/a"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the response with Connection: close is written
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		_, err = io.WriteString(c, get("/b")) // the caller has not seen the response yet
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
	}
	paths, closes, err := readAll(c, br)
	is.Equal(err, io.EOF)
	is.Equal(paths, []string{body})
	is.True(closes)
	is.NoErr(c.Close())
	<-stopped
}
