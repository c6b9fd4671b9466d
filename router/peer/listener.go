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

// maxHandshakes bounds the connections that have not been authenticated yet. Further
// connections are closed at once. Authenticated connections are not bounded.
const maxHandshakes = 256

// Logger receives the listener's warnings.
type Logger interface {
	Warnf(format string, args ...any)
}

// Listener accepts connections of peers, authenticates them and passes them on by
// channel.
type Listener struct {
	inner      net.Listener
	secret     []byte
	log        Logger
	onRPC      func(net.Conn)
	http       chan net.Conn
	closed     chan struct{}
	once       sync.Once
	handshakes chan struct{}
}

// Listen opens the peer port on addr. tlsConfig is nil for plain TCP. onRPC is
// called in its own goroutine for each connection on ChannelRPC and must close it;
// HTTP returns the listener of the others. Connections wait until Serve is called.
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
		http:       make(chan net.Conn),
		closed:     make(chan struct{}),
		handshakes: make(chan struct{}, maxHandshakes),
	}
	return l, nil
}

// Serve accepts connections. It blocks until the listener is closed; the end of ctx
// closes it.
func (l *Listener) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // the process may be out of file descriptors
			continue
		}
		select {
		case l.handshakes <- struct{}{}:
			go l.admit(conn)
		default:
			_ = conn.Close()
		}
	}
}

func (l *Listener) admit(conn net.Conn) {
	ch, err := l.authenticate(conn)
	<-l.handshakes
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

// Close stops accepting connections. Open connections are not closed.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.inner.Close()
}

// HTTP returns a listener whose Accept returns the authenticated connections on
// ChannelHTTP. Closing it closes l.
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
