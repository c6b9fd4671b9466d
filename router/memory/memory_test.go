package memory_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/memory"
)

// Guards against bodies that are cut, or accepted beyond their limit or the memory, and
// against memory that is not counted or not returned.
func TestReadAll(t *testing.T) {
	is := is.New(t)
	p := memory.NewPool(4 << 20)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 64 << 10, 64<<10 + 1, 300 << 10} {
		body := bytes.Repeat([]byte("b"), size)
		for _, length := range []int64{-1, int64(size)} {
			a := p.Open()
			got, err := memory.ReadAll(a, iotest.HalfReader(bytes.NewReader(body)), length, int64(size))
			is.NoErr(err)
			is.True(bytes.Equal(got, body))
			is.Equal(p.Used(), int64(cap(got)))
			a.Close()
			is.Equal(p.Used(), int64(0))
		}
	}
	a := p.Open()
	_, err := memory.ReadAll(a, bytes.NewReader(make([]byte, 11)), -1, 10)
	is.True(errors.Is(err, memory.ErrTooLong))
	_, err = memory.ReadAll(a, bytes.NewReader(nil), 11, 10)
	is.True(errors.Is(err, memory.ErrTooLong))
	_, err = memory.ReadAll(a, zeros{}, -1, 1<<40)
	is.True(errors.Is(err, memory.ErrExhausted))
	_, err = memory.ReadAll(a, io.MultiReader(bytes.NewReader([]byte("ab")), iotest.ErrReader(io.ErrUnexpectedEOF)), 9, 10)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	a.Close()
	a.Close()
	is.Equal(p.Used(), int64(0))
	is.True(errors.Is(a.Grow(1), memory.ErrExhausted)) // closed
}

// zeros has no end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a head that is counted after it was parsed.
func TestHead(t *testing.T) {
	is := is.New(t)
	p := memory.NewPool(1 << 20)
	a := p.Open()
	var h memory.Head
	is.NoErr(h.Add(1 << 30)) // not started
	is.NoErr(h.Start(a, 100))
	is.NoErr(h.Add(100))
	is.True(p.Used() >= 200)
	is.True(errors.Is(h.Add(64<<10), memory.ErrExhausted))
	h.End()
	is.Equal(p.Used(), int64(0))
	is.True(memory.HeaderBytes(http.Header{"A": {"", ""}}) > 256)
}

// Guards against a process without a limit that fails.
func TestNilPoolGrantsEverything(t *testing.T) {
	is := is.New(t)
	var p *memory.Pool
	a := p.Open()
	is.NoErr(a.Grow(1 << 62))
	a.Shrink(1)
	a.Close()
}

// Guards against connections of a server that are not counted, or whose memory is not
// returned after a request or a close.
func TestListener(t *testing.T) {
	is := is.New(t)
	p := memory.NewPool(1 << 20)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var refused atomic.Int32
	l := &memory.Listener{Listener: inner, Pool: p, ConnBytes: 32 << 10, HeadBytes: 4 << 10, Refused: func(net.Conn) { refused.Add(1) }}
	seen := make(chan int64, 100)
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen <- p.Used()
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	for range 3 {
		resp, err := http.Post("http://"+inner.Addr().String(), "text/plain", bytes.NewReader(make([]byte, 1<<20)))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.True(<-seen > 32<<10) // with the head
	}
	await := func(used int64) {
		for end := time.Now().Add(10 * time.Second); p.Used() != used; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("used %d instead of %d", p.Used(), used)
			}
		}
	}
	await(32 << 10) // one idle connection
	var conns []net.Conn
	for range 40 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		conns = append(conns, conn)
	}
	await(1 << 20)
	for end := time.Now().Add(10 * time.Second); refused.Load() != 9; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	for _, conn := range conns {
		is.NoErr(conn.Close())
	}
	await(32 << 10)
}
