package harness

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// FaultProxy forwards TCP connections to an upstream address. It can drop the
// bytes of one or both directions without closing the connections, like a
// partitioned network, delay them, and reset connections.
type FaultProxy struct {
	listener     net.Listener
	upstreamAddr string
	// dropUpstream drops the bytes sent to the upstream address, dropDownstream
	// those sent back to clients.
	dropUpstream, dropDownstream atomic.Bool
	// delay is added to each read, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// NewFaultProxy listens on a free loopback port and forwards to upstreamAddr.
func NewFaultProxy(upstreamAddr string) (*FaultProxy, error) {
	return NewFaultProxyAt("127.0.0.1:0", upstreamAddr)
}

// NewFaultProxyAt listens on the address listen and forwards to upstreamAddr. If
// upstreamAddr accepts no connection within 1 s, the client's connection is closed.
func NewFaultProxyAt(listen, upstreamAddr string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &FaultProxy{listener: l, upstreamAddr: upstreamAddr}
	go f.accept()
	return f, nil
}

// Addr returns the address that the proxy listens on.
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
	upstream, err := net.DialTimeout("tcp", f.upstreamAddr, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	f.mu.Lock()
	f.conns = append(f.conns, conn, upstream)
	f.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn, drop *atomic.Bool) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			time.Sleep(time.Duration(f.delay.Load()))
			if n > 0 && !drop.Load() {
				if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
			if err != nil {
				done <- struct{}{}
				return
			}
		}
	}
	go pipe(upstream, conn, &f.dropUpstream)
	go pipe(conn, upstream, &f.dropDownstream)
	<-done
}

// Cut drops the bytes of the given directions from now on. Connections that have
// lost bytes cannot be used afterwards, so Heal closes them.
func (f *FaultProxy) Cut(upstream, downstream bool) {
	f.dropUpstream.Store(upstream)
	f.dropDownstream.Store(downstream)
}

// Delay delays each chunk that is forwarded from now on by d.
func (f *FaultProxy) Delay(d time.Duration) { f.delay.Store(int64(d)) }

// Reset closes all connections with a TCP reset.
func (f *FaultProxy) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close() // the connection is discarded either way
	}
	f.conns = nil
}

// Heal ends a cut and a delay, and closes all connections.
func (f *FaultProxy) Heal() {
	f.Delay(0)
	f.mu.Lock()
	for _, c := range f.conns {
		_ = c.Close() // it may have lost bytes
	}
	f.conns = nil
	f.mu.Unlock()
	f.Cut(false, false)
}

// Close stops listening and closes all connections.
func (f *FaultProxy) Close() {
	_ = f.listener.Close() // no more connections are accepted either way
	f.Heal()
}
