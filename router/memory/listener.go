package memory

import (
	"net"
	"net/http"
	"sync"
)

// Listener charges the connections of a net/http server to a pool: each with ConnBytes,
// and with the head that it receives, as package memory counts heads, until the request
// has been answered. A connection for which there is no memory is closed.
type Listener struct {
	net.Listener
	Pool *Pool
	// ConnBytes is the memory of an idle connection, in bytes.
	ConnBytes int64
	// HeadBytes is the bound of the server for a head. The bytes after it are those of a
	// body, which the handler charges.
	HeadBytes int
	// Refused is called for each connection that is closed at once.
	Refused func(net.Conn)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		account := l.Pool.Open()
		if account.Grow(l.ConnBytes) == nil {
			return &chargedConn{Conn: conn, account: account, headBytes: l.HeadBytes}, nil
		}
		account.Close()
		l.Refused(conn)
		_ = conn.Close() // nothing was read
	}
}

// ConnState is for the field of http.Server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*chargedConn); ok && state == http.StateIdle {
		c.endRequest()
	}
}

// chargedConn is a connection with an account. net/http reads from it in one goroutine at
// a time.
type chargedConn struct {
	net.Conn
	account   *Account
	headBytes int

	mu       sync.Mutex
	head     Head
	received int // of the request that is being received or answered
}

// Read implements net.Conn.
func (c *chargedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if chargeErr := c.charge(n); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

func (c *chargedConn) charge(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, c.headBytes-c.received)
	c.received += n
	if c.received == n {
		return c.head.Start(c.account, n)
	}
	return c.head.Add(n)
}

func (c *chargedConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.End()
	c.received = 0
}

// Close implements net.Conn.
func (c *chargedConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *chargedConn) NetConn() net.Conn { return c.Conn }
