package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"bramleyquay.example/router/netopt"
)

// maxHandshakes bounds connections that have not proved the secret yet.
const maxHandshakes = 256

// Logger takes the listener's short messages.
type Logger interface {
	Warnf(format string, args ...any)
}

// Listener accepts connections of peers and sorts them by channel.
type Listener struct {
	inner   net.Listener
	secret  []byte
	log     Logger
	onRPC   func(net.Conn)
	http    chan net.Conn
	closed  chan struct{}
	once    sync.Once
	pending chan struct{}
}

// Listen opens the peer port. onRPC is called on a goroutine of its own for
// each connection on ChannelRPC; HTTP gives the others.
func Listen(addr string, secret []byte, tlsConfig *tls.Config, log Logger, onRPC func(net.Conn)) (*Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: netopt.KeepAlive, Control: netopt.Control}
	inner, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if tlsConfig != nil {
		inner = tls.NewListener(inner, tlsConfig)
	}
	l := &Listener{
		inner: inner, secret: secret, log: log, onRPC: onRPC,
		http:    make(chan net.Conn),
		closed:  make(chan struct{}),
		pending: make(chan struct{}, maxHandshakes),
	}
	return l, nil
}

// Serve accepts connections until ctx ends or the listener is closed.
func (l *Listener) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors, for example
			continue
		}
		select {
		case l.pending <- struct{}{}:
			go l.admit(conn)
		default:
			_ = conn.Close()
		}
	}
}

func (l *Listener) admit(conn net.Conn) {
	ch, err := l.authenticate(conn)
	<-l.pending
	if err != nil {
		l.log.Warnf("connection refused: %v", err)
		_ = conn.Close()
		return
	}
	if ch == ChannelRPC {
		l.onRPC(conn)
		return
	}
	select {
	case l.http <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

func (l *Listener) authenticate(conn net.Conn) (Channel, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return 0, err
	}
	ch, err := serverHandshake(conn, l.secret)
	if err != nil {
		return 0, err
	}
	return ch, conn.SetDeadline(time.Time{})
}

// Addr returns the listening address.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Close stops accepting. Open connections stay.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.inner.Close()
}

// HTTP returns the listener of connections on ChannelHTTP.
func (l *Listener) HTTP() net.Listener { return httpListener{l} }

type httpListener struct{ *Listener }

// Accept implements net.Listener.
func (l httpListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.http:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
