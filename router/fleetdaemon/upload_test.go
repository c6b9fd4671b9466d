package fleetdaemon_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/memory/heappeak"
)

// pattern is a body of n bytes that is generated while it is read.
type pattern struct{ at, n int64 }

// Read implements io.Reader.
func (p *pattern) Read(b []byte) (int, error) {
	if p.at >= p.n {
		return 0, io.EOF
	}
	b = b[:min(int64(len(b)), p.n-p.at)]
	for i := range b {
		b[i] = byte((p.at + int64(i)) * 7 >> 3)
	}
	p.at += int64(len(b))
	return len(b), nil
}

func digest(r io.Reader) (string, error) {
	h := sha256.New()
	_, err := io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil)), err
}

// upload sends a body of n bytes to the non-idempotent route, in chunks if its length
// is not to be known.
func (t *target) upload(id string, n int64, chunked bool) (status int, body string) {
	req, _ := http.NewRequest("POST", "http://"+t.cfg.Sidecar.Caller+"/unsafe/u", &pattern{n: n})
	req.Host = "h"
	if req.ContentLength = n; chunked {
		req.ContentLength = -1
	}
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Deadline-Ms", "20000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }() // only read
	text, _ := io.ReadAll(resp.Body)         // a truncated body does not have the expected text
	return resp.StatusCode, string(text)
}

// digestUploads makes the targets answer with the digests of the bodies.
func digestUploads(targets ...*target) {
	for _, p := range targets {
		p.behave = func(w http.ResponseWriter, r *http.Request) bool {
			sum, err := digest(r.Body)
			if err != nil {
				return true // the body broke off, so there is no answer of the target
			}
			w.Header().Set("X-Signed", p.name)
			_, _ = io.WriteString(w, sum)
			return true
		}
	}
}

// Guards against uploads that run twice or reach the target changed, for bodies that
// are sent at once, after the gate has accepted them, and as they are read.
func TestUploads(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	digestUploads(plain[:]...)
	for _, n := range []int64{1, 5 << 10, 60 << 10, 256 << 10, 1 << 20, 5 << 20} {
		want, _ := digest(&pattern{n: n})
		for _, chunked := range []bool{false, true} {
			for i, via := range []*target{keyed[0], plain[0]} {
				id := fmt.Sprint("up", n, chunked, i)
				status, body := via.upload(id, n, chunked)
				is.Equal(status, 200)
				is.Equal(body, want)
				is.Equal(plain[0].count(id)+plain[1].count(id), 1)
			}
		}
	}
}

// Guards against an upload that is retried after its body was passed on, against one
// that is not, although it can be sent again, and against a false status.
func TestRefusedUploads(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	for _, p := range plain {
		p.behave = func(w http.ResponseWriter, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body) // the answer does not depend on it
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	status, _ := keyed[0].upload("short", 60<<10, false)
	is.Equal(status, 503)
	is.Equal(plain[0].count("short")+plain[1].count("short"), 2)
	status, _ = keyed[0].upload("long", 1<<20, false)
	is.Equal(status, 503) // the target says that it did not run it
	is.Equal(plain[0].count("long")+plain[1].count("long"), 1)
}

// Guards against an upload that its caller breaks off and that a target takes for
// complete.
func TestUploadThatBreaksOff(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	var complete atomic.Int32
	ended := make(chan struct{}, 10)
	for _, p := range plain {
		p.behave = func(_ http.ResponseWriter, r *http.Request) bool {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				complete.Add(1)
			}
			ended <- struct{}{}
			return true
		}
	}
	for _, framing := range []string{"Content-Length: 1048576\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n100000\r\n"} {
		c, err := net.Dial("tcp", keyed[0].cfg.Sidecar.Caller)
		is.NoErr(err)
		_, err = io.WriteString(c, "POST /unsafe/b HTTP/1.1\r\nHost: h\r\nX-Id: b\r\nX-Deadline-Ms: 20000\r\n"+framing)
		is.NoErr(err)
		_, err = io.Copy(c, &pattern{n: 600 << 10})
		is.NoErr(err)
		is.NoErr(c.Close())
		select {
		case <-ended:
		case <-time.After(waitTimeout):
			t.Fatal("the target waits for the rest of the body")
		}
	}
	is.Equal(complete.Load(), int32(0))
}

// Guards against memory that grows with the bodies: 100 uploads of 4 MiB at once must
// take less than 64 MiB in the two processes, the target and the callers together.
func TestMemoryOfUploads(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	digestUploads(plain[:]...)
	growth := heappeak.Measure(10 * time.Millisecond)
	want, _ := digest(&pattern{n: 4 << 20})
	var served, wrong atomic.Int32
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			switch status, body := keyed[0].upload(fmt.Sprint("m", i), 4<<20, i%2 == 0); {
			case status == 200 && body == want:
				served.Add(1)
			case status != http.StatusServiceUnavailable:
				wrong.Add(1)
				t.Logf("upload %d: status %d, %s", i, status, body)
			}
		})
	}
	wg.Wait()
	grown := growth()
	t.Logf("%d served, heap grew by %d MiB at most", served.Load(), grown>>20)
	is.Equal(wrong.Load(), int32(0))
	is.True(served.Load() > 0)
	is.True(grown < 64<<20)
}

// Guards against more bytes of bodies at a target than its memory may hold, against bodies
// of unknown length that do not count, and against a short request that waits behind them.
func TestBytesOfBodiesAtTarget(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	var mu sync.Mutex
	now, most := [2]int64{}, int64(0)
	for i, p := range plain {
		p.behave = func(w http.ResponseWriter, r *http.Request) bool {
			n := r.ContentLength
			if n < 0 {
				n = 8 << 20
			}
			mu.Lock()
			now[i] += n
			most = max(most, now[i])
			mu.Unlock()
			_, err := io.Copy(io.Discard, r.Body)
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			now[i] -= n
			mu.Unlock()
			return err != nil // otherwise the usual answer
		}
	}
	var wg sync.WaitGroup
	var served, other atomic.Int32
	for i := range 12 {
		wg.Go(func() {
			switch status, _ := keyed[i%2].upload(fmt.Sprint("b", i), 5<<20, i%3 == 0); status {
			case 200:
				served.Add(1)
			case 503:
			default:
				other.Add(1)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of 12 served, at most %d bytes at a target", served.Load(), most)
	is.Equal(other.Load(), int32(0)) // each upload ends with a response
	is.True(served.Load() >= 2)
	is.True(most <= 8<<20)
}
