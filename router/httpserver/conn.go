package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxAhead bounds the requests of one connection that run side by side.
	maxAhead = 64
	// writeTimeout ends a connection whose caller does not read its answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the wait for the caller's end of a connection that
	// was half closed. Unread bytes at a close would reset the answer.
	lingerTimeout = 500 * time.Millisecond
	readBuffer    = 4 << 10
)

// conn is one caller's connection: the reader starts a goroutine for each
// request and queues its place; the writer answers in that order.
type conn struct {
	server  *Server
	raw     net.Conn
	limited *limitReader
	br      *bufio.Reader
	queue   chan exchange
	pending atomic.Int32
	closing atomic.Bool
	// ended, under mu, says that the last answer closes the connection.
	mu     sync.Mutex
	ended  bool
	cancel context.CancelFunc
	ctx    context.Context
}

// exchange is one request's place in the order of answers.
type exchange struct {
	answer chan *Response
	method string
	last   bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, limited: &limitReader{inner: raw}, queue: make(chan exchange, maxAhead)}
	c.br = bufio.NewReaderSize(c.limited, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) run() {
	defer c.server.forget(c)
	done := make(chan struct{})
	go func() { defer close(done); c.write() }()
	left := c.read()
	if left {
		// The caller is gone: what still runs has nobody to answer.
		c.cancel()
	}
	close(c.queue)
	<-done
	c.cancel()
	c.finish()
}

// finish closes the connection so that the last answer arrives.
func (c *conn) finish() {
	if tcp, ok := c.raw.(*net.TCPConn); ok && !c.gone() {
		_ = tcp.CloseWrite()                                     // the close below ends it in any case
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) // a failure shows at the read
		c.limited.left = lingerBytes
		_, _ = io.Copy(io.Discard, c.limited) // only the end matters
	}
	_ = c.raw.Close() // nothing is left to lose
}

// lingerBytes bounds what is read from a caller after the last answer.
const lingerBytes = 256 << 10

func (c *conn) gone() bool { return c.closing.Load() }

// endReading ends the wait for the next request.
func (c *conn) endReading() {
	_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // a failure shows at the read
}

// noMore reports whether no further request is to be read.
func (c *conn) noMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended || c.server.isClosing()
}

// read reads requests until the connection ends, and reports whether the
// caller left.
func (c *conn) read() (left bool) {
	for {
		r, status, err := c.next()
		if err != nil {
			if status != 0 {
				c.refuse(status)
				return false
			}
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return c.watch()
			}
			c.closing.Store(true)
			return true
		}
		last := r.Header.Get("Connection") == "close"
		x := exchange{answer: make(chan *Response, 1), method: r.Method, last: last}
		if !c.admit() {
			return false // it crossed the close and was not passed on
		}
		c.queue <- x
		go func() { x.answer <- c.server.handler.Serve(c.ctx, r) }()
		if last {
			return c.watch()
		}
	}
}

// watch waits for the caller to leave or for the answers to be out.
func (c *conn) watch() (left bool) {
	for c.pending.Load() > 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(watchInterval)) // a failure shows at the read
		c.limited.left = readBuffer
		_, err := c.br.Peek(c.br.Buffered() + 1)
		var timeout net.Error
		switch {
		case err == nil, errors.Is(err, bufio.ErrBufferFull):
			time.Sleep(watchInterval) // a request behind the last one is not read
		case errors.As(err, &timeout) && timeout.Timeout():
		default:
			c.closing.Store(true)
			return true
		}
	}
	return false
}

// watchInterval is the time between two looks at the last request of a
// connection.
const watchInterval = 50 * time.Millisecond

// admit counts a request unless the connection ends already.
func (c *conn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.pending.Add(1)
	return true
}

// end reports whether the next answer closes the connection: it belongs to the
// last request, or the server drains and no other request was read.
func (c *conn) end(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last || (c.server.isDraining() && c.pending.Load() == 1) {
		c.ended = true
	}
	return c.ended
}

func (c *conn) refuse(status int) {
	x := exchange{answer: make(chan *Response, 1), last: true}
	x.answer <- TextResponse(status, http.StatusText(status))
	if c.admit() {
		c.queue <- x
	}
}

// next reads one request. A status other than 0 is the answer to one that
// cannot be read.
func (c *conn) next() (*Request, int, error) {
	limits := c.server.limits()
	c.limited.left = limits.HeaderBytes
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, 0, err
	}
	if c.noMore() {
		// The deadline above may have replaced the one that ends the reading.
		c.endReading()
	}
	if _, err := c.br.Peek(1); err != nil {
		return nil, 0, err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, 0, err
	}
	hr, err := http.ReadRequest(c.br)
	switch {
	case c.limited.hit:
		return nil, http.StatusRequestHeaderFieldsTooLarge, errTooLarge
	case err != nil:
		if isClosed(err) {
			return nil, 0, err
		}
		return nil, http.StatusBadRequest, err
	}
	body, status, err := c.body(hr, limits)
	if err != nil {
		return nil, status, err
	}
	return &Request{
		Method: hr.Method, URI: hr.RequestURI, Path: hr.URL.Path, Host: hr.Host,
		Header: hr.Header, Body: body, Received: time.Now(),
	}, 0, nil
}

var errTooLarge = errors.New("the request exceeds the limits")

// bodyTimeout bounds the reading of one body; the limits on callers name none.
const bodyTimeout = 30 * time.Second

func (c *conn) body(hr *http.Request, limits Limits) ([]byte, int, error) {
	if hr.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errTooLarge
	}
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil, 0, nil
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, 0, err
	}
	if hr.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	c.limited.left = 2*limits.BodyBytes + readBuffer // chunk sizes take room too
	body, err := io.ReadAll(io.LimitReader(hr.Body, limits.BodyBytes+1))
	switch {
	case err != nil && isClosed(err):
		return nil, 0, err
	case err != nil:
		return nil, http.StatusBadRequest, err
	case int64(len(body)) > limits.BodyBytes:
		return nil, http.StatusRequestEntityTooLarge, errTooLarge
	}
	return body, 0, nil
}

func isClosed(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// limitReader bounds the bytes of one part of a request.
type limitReader struct {
	inner io.Reader
	left  int64
	hit   bool
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.hit = true
		return 0, errTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.inner.Read(p)
	l.left -= int64(n)
	return n, err
}
