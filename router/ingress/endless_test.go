package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/strictresponse/responseforms"
)

// endlessTarget answers each request with head and then sends part again and again until
// the other end closes the connection. open counts its connections that are not closed yet.
func endlessTarget(t *testing.T, head, part string) (address string, open *atomic.Int64) {
	open = &atomic.Int64{}
	address = responseforms.Serve(t, func(conn net.Conn, in *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the answer does not depend on it
		_, err = io.WriteString(conn, head)
		for again := []byte(part); err == nil; {
			_, err = conn.Write(again)
		}
	})
	return address, open
}

// heapPeak samples the memory in use until stop is called, which returns the growth.
func heapPeak() (stop func() uint64) {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ended, peak := make(chan struct{}), make(chan uint64)
	go func() {
		highest := before.HeapAlloc
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapAlloc)
			select {
			case <-ended:
				peak <- highest - before.HeapAlloc
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(ended); return <-peak }
}

// Guards against bytes without end of a target that fill the memory of the process, that
// count as an answer, or that are read beyond the deadline.
func TestAnswersWithoutEnd(t *testing.T) {
	const maxGrowth = 16 << 20 // as in package httpclient
	fill := strings.Repeat("x", 4096)
	ok := "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, part string }{
		"no answer":             {"", fill},
		"status line":           {"HTTP/1.1 200 ", fill},
		"header line":           {ok + "A: ", fill},
		"headers":               {ok, "A: " + fill + "\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body until close":      {ok + "\r\n", fill},
		"chunks":                {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + fill + "\r\n"},
		"chunk extension":       {ok + "Transfer-Encoding: chunked\r\n\r\n1;", fill},
		"chunk extensions":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + fill[:2000] + "\r\nx\r\n"},
		"trailer line":          {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", fill},
		"trailers":              {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + fill + "\r\n"},
	} {
		for _, service := range []string{"plain", "pay"} {
			t.Run(name+"/"+service, func(t *testing.T) {
				address, open := endlessTarget(t, c.head, c.part)
				fx := newFixture(t, service, address)
				fx.throughBoth(t, func(t *testing.T, base string) {
					is := is.New(t)
					growth := heapPeak()
					var callers sync.WaitGroup
					for i := range 4 {
						callers.Go(func() {
							begin := time.Now()
							if status, complete := discard(base+"/"+service+"/x", string(rune('a'+i))); complete && status < 500 {
								t.Errorf("counts as an answer with status %d", status)
							}
							is.True(time.Since(begin) < 5*time.Second)
						})
					}
					callers.Wait()
					grown := growth()
					t.Logf("grew by %d KiB", grown>>10)
					is.True(grown < maxGrowth)
					for end := time.Now().Add(10 * time.Second); open.Load() > 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					}
					is.Equal(open.Load(), int64(0)) // no connection is read any more
				})
			})
		}
	}
}

// discard sends a payment with a deadline of 1 s and reads the answer without keeping it.
func discard(url, key string) (status int, complete bool) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("b"))
	if err != nil {
		return 0, false
	}
	req.Header.Set("Bq-Timeout-Ms", "1000")
	req.Header.Set("Idempotency-Key", key+url)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }() // the read has returned all errors
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}
