package peer

import (
	"context"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/router/memory"
)

// Client calls jsonrpc2 methods of other processes. It shares one connection per
// address between all calls and dials again after a failure. It is safe for
// concurrent use.
type Client struct {
	dialer *Dialer
	notify func(method string)
	memory *memory.Pool

	mu    sync.Mutex
	conns map[string]*clientConn
}

// clientConn is a connection that is open or being opened.
type clientConn struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	err   error
}

// NewClient returns a client without connections. notify is called with the method
// of each notification from a peer; it may be nil and must not block.
func NewClient(dialer *Dialer, notify func(method string)) *Client {
	return &Client{dialer: dialer, notify: notify, conns: map[string]*clientConn{}}
}

// LimitMemory sets the memory that answers share while they are read. A connection with an
// answer for which there is none ends. It must be called before the first call.
func (c *Client) LimitMemory(p *memory.Pool) { c.memory = p }

// Call calls a method at addr and decodes the result into result. It blocks until
// the response arrives or ctx ends. After an error the method may have run, unless
// the error is a *NotLeaderError.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		return Error.Wrap(decodeError(err))
	}
	return nil
}

// Notify sends a notification. It blocks while the connection is being opened, and
// does not wait until the peer has handled the notification.
func (c *Client) Notify(ctx context.Context, addr, method string, params any) error {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return err
	}
	return Error.Wrap(conn.Notify(ctx, method, params))
}

// Drop closes the connection to addr, for a peer that stopped answering; calls in
// progress on it fail. It does not block; the next call dials again.
func (c *Client) Drop(addr string) {
	c.mu.Lock()
	entry := c.conns[addr]
	delete(c.conns, addr)
	c.mu.Unlock()
	if entry == nil {
		return
	}
	go func() {
		<-entry.ready
		if entry.conn != nil {
			_ = entry.conn.Close()
		}
	}()
}

// connect returns the connection to addr and waits while it is being opened.
func (c *Client) connect(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	entry := c.conns[addr]
	if entry == nil {
		entry = &clientConn{ready: make(chan struct{})}
		c.conns[addr] = entry
		go c.open(addr, entry)
	}
	c.mu.Unlock()
	select {
	case <-entry.ready:
		return entry.conn, entry.err
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// open dials and removes the entry after the failure or the end of the connection.
// It does not use the context of one call, because other calls wait for the same
// connection.
func (c *Client) open(addr string, entry *clientConn) {
	raw, err := c.dialer.Dial(context.Background(), addr, ChannelRPC)
	if err != nil {
		entry.err = err
	} else {
		entry.conn = c.newConn(raw)
	}
	close(entry.ready)
	if err == nil {
		<-entry.conn.DisconnectNotify()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == entry {
		delete(c.conns, addr)
	}
}

func (c *Client) newConn(raw net.Conn) *jsonrpc2.Conn {
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		if c.notify != nil {
			c.notify(req.Method)
		}
		return nil, nil
	})
	stream := jsonrpc2.NewBufferedStream(raw, frameCodec{memory: c.memory})
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(discardLogger{}))
}

// Close closes all connections. It does not block. A later call opens a new
// connection.
func (c *Client) Close() {
	c.mu.Lock()
	addrs := make([]string, 0, len(c.conns))
	for addr := range c.conns {
		addrs = append(addrs, addr)
	}
	c.mu.Unlock()
	for _, addr := range addrs {
		c.Drop(addr)
	}
}
