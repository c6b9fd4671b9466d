package httpclient

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"bramleyquay.example/coord/correlation"
	"bramleyquay.example/router/netopt"
	"bramleyquay.example/router/strictresponse"
)

// Connect opens a connection and keeps it for a later request. The error is a
// *NotSentError.
func (c *Client) Connect(ctx context.Context) error {
	pc, err := c.dial(ctx)
	if err != nil {
		return &NotSentError{Cause: err, Refused: isRefused(err)}
	}
	pc.expires = time.Now().Add(c.cfg.IdleTimeout)
	c.putIdle(pc)
	return nil
}

// acquireConn returns an idle connection that can carry a request with the id, or opens
// one.
func (c *Client) acquireConn(ctx context.Context, id string) (*persistConn, error) {
	for {
		pc := c.popIdle(id)
		if pc == nil {
			return c.dial(ctx)
		}
		if time.Now().Before(pc.expires) && pc.usable() {
			return pc, nil
		}
		_ = pc.raw.Close() // it is not used any more
	}
}

// popIdle returns the idle connection that was used last of those that can carry a request
// with the id, or nil.
func (c *Client) popIdle(id string) *persistConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		if pc := c.idle[i]; pc.requests.Accepts(id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return pc
		}
	}
	return nil
}

func (c *Client) putIdle(pc *persistConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case !pc.requests.IsSpent():
		c.idle = append(c.idle, pc)
	case c.cfg.FailOnRestart:
		if c.spent != nil {
			_ = c.spent.raw.Close() // it is not used any more
		}
		c.spent = pc // it shows that the server goes on
	default:
		_ = pc.raw.Close() // it is not used any more
	}
	// The connections that have been idle longest are at the front.
	for len(c.idle) > 0 && now.After(c.idle[0].expires) {
		_ = c.idle[0].raw.Close() // it is not used any more
		c.idle = c.idle[1:]
	}
}

// Close closes the idle connections. Connections in use are not closed.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.idle {
		_ = pc.raw.Close() // it is not used any more
	}
	c.idle = nil
	if c.spent != nil {
		_ = c.spent.raw.Close() // it is not used any more
		c.spent = nil
	}
}

func (c *Client) dial(ctx context.Context) (*persistConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: netopt.KeepAlive, Control: netopt.Control}
	raw, err := d.DialContext(ctx, "tcp", c.cfg.Address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	checked := strictresponse.NewConn(raw, strictresponse.Several)
	limited := &limitedReader{inner: checked}
	return &persistConn{raw: raw, checked: checked, limited: limited, br: bufio.NewReader(limited)}, nil
}

// persistConn is a connection that can be used for several requests, one after the
// other. expires is set when it becomes idle.
type persistConn struct {
	raw net.Conn
	// checked is raw for reading and writing.
	checked *strictresponse.Conn
	limited *limitedReader
	br      *bufio.Reader
	expires time.Time
	// requests are those that it has carried.
	requests correlation.Connection
}

// usable reports whether an idle connection that has not expired can take a request:
// the server has not closed it, and no unexpected bytes have arrived.
func (pc *persistConn) usable() bool {
	return !pc.hasExtraBytes() && isOpenIdle(pc.raw)
}

// hasExtraBytes reports whether bytes behind the last response have been read. Those that
// the check has refused are not in the buffer.
func (pc *persistConn) hasExtraBytes() bool {
	return pc.br.Buffered() > 0 || pc.checked.Err() != nil
}

// abort closes the connection while a request is in progress. With reset it discards
// the bytes that are still to be sent.
func (pc *persistConn) abort(reset bool) {
	if tcp, ok := pc.raw.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0) // the connection is closed below in any case
	}
	_ = pc.raw.Close() // it is not used any more
}
