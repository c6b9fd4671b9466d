package harness

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// FaultProxy passes TCP connections on to another address. It can lose what it
// is given, in one direction or both, without closing anything, like a network
// that has been cut, delay it, and reset connections.
type FaultProxy struct {
	listener net.Listener
	to       string
	// there and back say that bytes of that direction are lost.
	there, back atomic.Bool
	// delay is added to each read, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// NewFaultProxy listens on a free port and forwards to an address.
func NewFaultProxy(to string) (*FaultProxy, error) { return NewFaultProxyAt("127.0.0.1:0", to) }

// NewFaultProxyAt listens on an address and forwards to another one.
func NewFaultProxyAt(listen, to string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &FaultProxy{listener: l, to: to}
	go f.accept()
	return f, nil
}

// Addr returns the address that the forwarder listens on.
func (f *FaultProxy) Addr() string { return f.listener.Addr().String() }

func (f *FaultProxy) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *FaultProxy) serve(conn net.Conn) {
	defer conn.Close()
	target, err := net.DialTimeout("tcp", f.to, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	f.mu.Lock()
	f.conns = append(f.conns, conn, target)
	f.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn, lost *atomic.Bool) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			time.Sleep(time.Duration(f.delay.Load()))
			if n > 0 && !lost.Load() {
				if _, werr := dst.Write(buffer[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				done <- struct{}{}
				return
			}
		}
	}
	go pipe(target, conn, &f.there)
	go pipe(conn, target, &f.back)
	<-done
}

// Cut loses the bytes of the given directions from now on. Connections that
// have lost bytes are of no use afterwards, so Heal closes them.
func (f *FaultProxy) Cut(there, back bool) {
	f.there.Store(there)
	f.back.Store(back)
}

// Delay adds a time to each piece that is forwarded from now on.
func (f *FaultProxy) Delay(d time.Duration) { f.delay.Store(int64(d)) }

// Reset resets all connections.
func (f *FaultProxy) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it, Close would be orderly
		}
		_ = c.Close() // it was reset
	}
	f.conns = nil
}

// Heal ends a cut and a delay.
func (f *FaultProxy) Heal() {
	f.Delay(0)
	f.mu.Lock()
	for _, c := range f.conns {
		_ = c.Close() // it has lost bytes
	}
	f.conns = nil
	f.mu.Unlock()
	f.Cut(false, false)
}

// Close stops forwarding.
func (f *FaultProxy) Close() {
	_ = f.listener.Close() // nothing is accepted any more either way
	f.Heal()
}
