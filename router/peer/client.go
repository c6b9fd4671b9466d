package peer

import (
	"context"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Client calls jsonrpc2 methods of other processes. It keeps one connection
// per address and opens it again after a failure.
type Client struct {
	dialer *Dialer
	notify func(method string)

	mu    sync.Mutex
	conns map[string]*clientConn
}

// clientConn is a connection that is open or being opened.
type clientConn struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	err   error
}

// NewClient returns a client. notify may be nil; it is called with the method
// of each notification that a peer sends back and must not block.
func NewClient(dialer *Dialer, notify func(method string)) *Client {
	return &Client{dialer: dialer, notify: notify, conns: map[string]*clientConn{}}
}

// Call calls a method at addr and decodes the answer into result. The error
// says nothing about whether the peer ran the method.
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

// Notify sends a notification without waiting for its effect.
func (c *Client) Notify(ctx context.Context, addr, method string, params any) error {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return err
	}
	return Error.Wrap(conn.Notify(ctx, method, params))
}

// Drop closes the connection to addr, for a peer that stopped answering.
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

// open dials without the caller's context: other callers wait for the same
// connection.
func (c *Client) open(addr string, entry *clientConn) {
	raw, err := c.dialer.Dial(context.Background(), addr, ChannelRPC)
	if err != nil {
		entry.err = err
	} else {
		entry.conn = c.start(raw)
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

func (c *Client) start(raw net.Conn) *jsonrpc2.Conn {
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		if c.notify != nil {
			c.notify(req.Method)
		}
		return nil, nil
	})
	stream := jsonrpc2.NewBufferedStream(raw, frameCodec{})
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(quiet{}))
}

// Close closes every connection.
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
