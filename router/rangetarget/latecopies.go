package rangetarget

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// maxCopyDelay is the longest time after an answer until its copy.
const maxCopyDelay = 40 * time.Millisecond

// copyingListener makes the target a faulty one: it sends a share of its answers a second
// time, late, on the same connection.
type copyingListener struct {
	net.Listener
	share float64
}

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.share == 0 {
		return conn, err
	}
	return &copyingConn{Conn: conn, share: l.share}, nil
}

type copyingConn struct {
	net.Conn
	share float64

	mu sync.Mutex
	// answer is what was written since the last request began to arrive, and begun is set
	// from the first byte of it on.
	answer []byte
	begun  bool
}

// Read implements net.Conn. Bytes that arrive are those of the next request.
func (c *copyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.begun = false
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *copyingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.begun, c.answer = true, nil
		if rand.Float64() < c.share {
			time.AfterFunc(time.Duration(rand.Int64N(int64(maxCopyDelay))), c.writeAgain)
		}
	}
	c.answer = append(c.answer, p...)
	return c.Conn.Write(p)
}

// writeAgain sends the last answer a second time.
func (c *copyingConn) writeAgain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.answer) // the other end may have closed the connection
}
