// Package httpclient speaks HTTP/1.1 with one address: a target or the
// process beside one. It never repeats a request by itself, takes no answer
// for whole that may be cut, and tells whether a request may have run.
package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleyquay.example/router/netopt"
)

// Config describes the address.
type Config struct {
	Address string
	// RequestIDHeader names the header in which answers repeat the request's id. An
	// answer with another id belongs to an earlier request and is dropped.
	RequestIDHeader string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time for which an unused connection is kept, unless the
	// other side names a shorter one.
	IdleTimeout time.Duration
	// MaxBody bounds an answer's body in bytes.
	MaxBody int64
}

// Request is one request with its whole body.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// ID is the value of Config.RequestIDHeader.
	ID string
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotSentError means that no byte of the request was sent: it did not run.
type NotSentError struct {
	Cause error
	// Refused says that the address answered that nobody listens.
	Refused bool
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError means that the request may have run and no whole answer came.
type BrokenError struct{ Cause error }

// Error implements error.
func (e *BrokenError) Error() string { return "no whole answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Client keeps connections to one address. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu     sync.Mutex
	idle   []*conn // the most recently used last
	opened uint64
}

// New returns a client without connections.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request and returns the whole answer. A *NotSentError means that
// it did not run; a *BrokenError leaves it open. The connection is closed when
// ctx ends first, so that the other side can stop working.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	k, err := c.take(ctx)
	if err != nil {
		return nil, &NotSentError{Cause: err, Refused: isRefused(err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.raw.Close() })
	resp, reuse, err := k.exchange(c.cfg, r)
	if !stop() {
		reuse = false
		if err != nil {
			err = context.Cause(ctx)
		}
	}
	if err != nil || !reuse {
		_ = k.raw.Close() // it is not used any more
	} else {
		c.give(k)
	}
	if err != nil {
		return nil, &BrokenError{Cause: err}
	}
	return resp, nil
}

// take returns a kept connection that looks alive, or opens one.
func (c *Client) take(ctx context.Context) (*conn, error) {
	for {
		k := c.pop()
		if k == nil {
			return c.dial(ctx)
		}
		if k.usable(time.Now()) {
			return k, nil
		}
		_ = k.raw.Close() // it is not used any more
	}
}

func (c *Client) pop() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	k := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return k
}

func (c *Client) give(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.idle = append(c.idle, k)
	// The longest unused connections are at the front.
	for len(c.idle) > 0 && now.After(c.idle[0].expires) {
		_ = c.idle[0].raw.Close() // it is not used any more
		c.idle = c.idle[1:]
	}
}

// Close closes the kept connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.raw.Close() // it is not used any more
	}
	c.idle = nil
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
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
	return &conn{raw: raw, br: bufio.NewReader(raw)}, nil
}

type conn struct {
	raw     net.Conn
	br      *bufio.Reader
	expires time.Time
}

// usable reports whether a kept connection can take a request: it has not
// expired, was not closed, and holds no bytes that belong to no request.
func (k *conn) usable(now time.Time) bool {
	return now.Before(k.expires) && k.br.Buffered() == 0 && quiet(k.raw)
}

// exchange sends r and reads its answer. reuse says whether the connection can
// take another request.
func (k *conn) exchange(cfg Config, r *Request) (*Response, bool, error) {
	sent := make(chan error, 1)
	go func() {
		_, err := k.raw.Write(encode(r))
		sent <- err
	}()
	for {
		hr, err := http.ReadResponse(k.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, err
		}
		if hr.StatusCode >= 100 && hr.StatusCode < 200 {
			continue
		}
		body, err := readBody(hr, cfg.MaxBody)
		if err != nil {
			return nil, false, err
		}
		if id := hr.Header.Get(cfg.RequestIDHeader); id != "" && r.ID != "" && id != r.ID {
			continue // a late second answer to an earlier request
		}
		return &Response{Status: hr.StatusCode, Header: hr.Header, Body: body}, k.reusable(cfg, hr, sent), nil
	}
}

var errTooLong = errors.New("the answer is too long")

func readBody(hr *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = hr.Body.Close() }() // the read tells all errors
	var buf bytes.Buffer
	if hr.ContentLength > 0 && hr.ContentLength <= limit {
		buf.Grow(int(hr.ContentLength))
	}
	n, err := buf.ReadFrom(io.LimitReader(hr.Body, limit+1))
	switch {
	case err != nil:
		return nil, err
	case n > limit:
		return nil, errTooLong
	}
	return buf.Bytes(), nil
}

// unsentWait bounds the wait for the rest of a request that was answered
// before it was read whole.
const unsentWait = 50 * time.Millisecond

func (k *conn) reusable(cfg Config, hr *http.Response, sent <-chan error) bool {
	if hr.Close || hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 || k.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-sent:
		if err != nil {
			return false
		}
	case <-time.After(unsentWait):
		return false // other bytes must not take the place of the rest
	}
	idle := cfg.IdleTimeout
	if named, ok := keepAlive(hr.Header.Get("Keep-Alive")); ok {
		idle = min(idle, time.Duration(keepAliveShare*float64(named)))
	}
	k.expires = time.Now().Add(idle)
	return idle > 0
}

// keepAliveShare is the part of the named idle time for which a connection is
// used again. The name is in whole seconds, and a request that crosses the
// other side's close may be lost.
const keepAliveShare = 0.6

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

func encode(r *Request) []byte {
	buf := make([]byte, 0, len(r.Body)+768)
	buf = append(append(append(append(buf, r.Method...), ' '), r.URI...), " HTTP/1.1\r\nHost: "...)
	buf = append(append(buf, r.Host...), "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			buf = append(append(append(append(buf, name...), ": "...), v...), "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(r.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(append(buf, "\r\n"...), r.Body...)
}
