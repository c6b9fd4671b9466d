package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPipelined is the number of requests of one connection that may wait
	// behind the one whose response is written next. At the limit the reader
	// stops reading until a response has been written, and does not notice that
	// the caller closes the connection.
	maxPipelined = 64
	// writeTimeout bounds the writing of one response to a caller that does not
	// read it. After it no further response is written, and the contexts of the
	// connection's requests are cancelled.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the wait for the caller to close its side after the
	// last response. Closing while received bytes are unread makes the kernel
	// send a reset, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// uploadLingerTimeout is the same wait after the refusal of a body that the caller
	// may still be sending.
	uploadLingerTimeout = 3 * time.Second
	readBufferBytes     = 4 << 10
)

// conn is one caller's connection. A reader starts a goroutine for each request
// and queues an exchange for it; a writer sends the responses in that order.
type conn struct {
	server  *Server
	raw     net.Conn
	limited *limitReader
	br      *bufio.Reader
	queue   chan exchange
	// pending is the number of admitted requests whose responses have neither
	// been written nor discarded.
	pending atomic.Int32
	// broken is set when the caller has closed the connection or a read or write
	// has failed; no further response is written.
	broken atomic.Bool
	// mu guards closeDecided. admit increments pending while it holds mu, so that
	// no request is admitted while decideClose chooses the last response.
	mu sync.Mutex
	// closeDecided is set once a response has been chosen after which the server
	// closes the connection.
	closeDecided bool
	// bodyUnread is set if the last request was answered before its body was read. Only
	// the reader's goroutine uses it.
	bodyUnread bool
	cancel     context.CancelFunc
	ctx        context.Context
}

// exchange is one request in the queue of responses. last says that the connection
// is closed after its response, because the caller asked for that or the request
// was rejected.
type exchange struct {
	response chan *Response
	method   string
	last     bool
	upload   *Upload
}

// endsConnection reports whether the connection is closed after the response: also if
// a part of the body has not been read. It is called once the handler has returned.
func (x exchange) endsConnection(deferred bool) bool {
	if x.upload == nil {
		return x.last
	}
	return x.last || !x.upload.end() && (x.upload.IsOpened() || !deferred)
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, limited: &limitReader{inner: raw}, queue: make(chan exchange, maxPipelined)}
	c.br = bufio.NewReaderSize(c.limited, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) run() {
	defer c.server.removeConn(c)
	done := make(chan struct{})
	go func() { defer close(done); c.writeResponses() }()
	callerDisconnected := c.readRequests()
	if callerDisconnected {
		// Nobody receives the responses of the requests that still run.
		c.cancel()
	}
	close(c.queue)
	<-done
	c.cancel()
	c.lingeringClose()
}

// lingeringClose closes the sending side, discards what the caller still sends
// and then closes the connection, so that the last response is not lost.
// lingerTimeout and lingerBytes bound the wait, or uploadLingerTimeout and the limit of
// a body if a caller may still be sending one.
func (c *conn) lingeringClose() {
	timeout, bytes := lingerTimeout, int64(lingerBytes)
	if c.bodyUnread {
		timeout, bytes = uploadLingerTimeout, max(bytes, 2*c.server.limits().BodyBytes)
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok && !c.isBroken() {
		_ = tcp.CloseWrite()                               // the connection is closed below in any case
		_ = c.raw.SetReadDeadline(time.Now().Add(timeout)) // a failure shows at the read
		c.limited.remaining = bytes
		_, _ = io.Copy(io.Discard, c.limited) // stops at the caller's close or at a bound
	}
	_ = c.raw.Close() // all responses have been written or cannot be
}

// lingerBytes bounds the bytes that are read from a caller after the last
// response.
const lingerBytes = 256 << 10

// isBroken reports whether the caller has closed the connection or a read or write
// has failed.
func (c *conn) isBroken() bool { return c.broken.Load() }

// interruptRead ends the wait for the next request by a read deadline in the
// past.
func (c *conn) interruptRead() {
	_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // a failure shows at the read
}

// readingEnded reports whether no further request is to be read.
func (c *conn) readingEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeDecided || c.server.isClosing()
}

// readRequests reads requests and starts their handlers until no further request
// is to be read. It reports whether the caller closed the connection.
func (c *conn) readRequests() (callerDisconnected bool) {
	for {
		r, status, err := c.readRequest()
		if err != nil {
			if status != 0 {
				c.bodyUnread = status == http.StatusRequestEntityTooLarge
				c.rejectAndClose(status)
				return false
			}
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				// The idle, header or body time-out has passed, or interruptRead
				// was called: the pending responses are written, and then the
				// connection is closed.
				return c.awaitResponses()
			}
			c.broken.Store(true)
			return true
		}
		last := r.Header.Get("Connection") == "close"
		x := exchange{response: make(chan *Response, 1), method: r.Method, last: last, upload: r.Upload}
		if !c.admit() {
			return false // the last response is already decided; this request is not handled
		}
		c.queue <- x
		handled := make(chan struct{})
		go func() {
			x.response <- c.server.handler.Serve(c.ctx, r)
			close(handled)
		}()
		if r.Upload != nil {
			if c.awaitUpload(r.Upload, handled) {
				return true
			}
			c.bodyUnread = x.endsConnection(c.server.deferBodies)
			last = c.bodyUnread
		}
		if last {
			return c.awaitResponses()
		}
	}
}

// awaitUpload leaves the connection to the handler from the opening of the body on and
// waits until the handler has returned. It reports whether the caller closed the
// connection before.
func (c *conn) awaitUpload(u *Upload, handled <-chan struct{}) (callerDisconnected bool) {
	for {
		select {
		case <-handled:
			return false
		case <-u.opened:
			return c.receiveUpload(u, handled)
		case <-time.After(disconnectCheckInterval):
		}
		if c.server.deferBodies && c.hasDisconnected() {
			c.broken.Store(true)
			c.cancel()
			close(u.ready) // reading the body fails
			<-handled
			return true
		}
	}
}

// receiveUpload lets the handler read the body and waits until it has returned.
func (c *conn) receiveUpload(u *Upload, handled <-chan struct{}) (callerDisconnected bool) {
	c.limited.remaining = math.MaxInt64                       // Upload bounds the body
	err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)) // a failure shows at the read
	if c.server.deferBodies && err == nil {
		_, err = io.WriteString(c.raw, continueResponse)
	}
	if err != nil {
		c.broken.Store(true)
		c.cancel()
	}
	close(u.ready)
	<-handled
	return err != nil
}

// hasDisconnected reports whether the caller has closed a connection on which no bytes
// are expected.
func (c *conn) hasDisconnected() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(time.Millisecond)) // a failure shows at the read
	c.limited.remaining = readBufferBytes
	_, err := c.br.Peek(1)
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// awaitResponses waits until the pending responses have been written or the
// caller closes the connection, and reports the latter. It reads no request.
func (c *conn) awaitResponses() (callerDisconnected bool) {
	for c.pending.Load() > 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(disconnectCheckInterval)) // a failure shows at the read
		c.limited.remaining = readBufferBytes
		_, err := c.br.Peek(c.br.Buffered() + 1)
		var timeout net.Error
		switch {
		case err == nil, errors.Is(err, bufio.ErrBufferFull):
			time.Sleep(disconnectCheckInterval) // bytes after the last request stay unread
		case errors.As(err, &timeout) && timeout.Timeout():
		default:
			c.broken.Store(true)
			return true
		}
	}
	return false
}

// disconnectCheckInterval is the time between two checks whether the caller has
// closed the connection or the last response has been written.
const disconnectCheckInterval = 50 * time.Millisecond

// admit counts a request as pending. It reports false if the response that
// closes the connection has been chosen already.
func (c *conn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeDecided {
		return false
	}
	c.pending.Add(1)
	return true
}

// decideClose reports whether the next response closes the connection: it
// answers the last request, or the server drains and no other request is
// pending. Once it has returned true, admit accepts no request.
func (c *conn) decideClose(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last || (c.server.isDraining() && c.pending.Load() == 1) {
		c.closeDecided = true
	}
	return c.closeDecided
}

// rejectAndClose queues an error response after which the connection is closed.
func (c *conn) rejectAndClose(status int) {
	x := exchange{response: make(chan *Response, 1), last: true}
	x.response <- TextResponse(status, http.StatusText(status))
	if c.admit() {
		c.queue <- x
	}
}

// readRequest reads one request. If it is malformed or too large, the status is
// that of the error response; otherwise the status is 0.
func (c *conn) readRequest() (*Request, int, error) {
	limits := c.server.limits()
	c.limited.remaining = limits.HeaderBytes
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, 0, err
	}
	if c.readingEnded() {
		// The deadline set above may have replaced that of interruptRead.
		c.interruptRead()
	}
	if _, err := c.br.Peek(1); err != nil {
		return nil, 0, err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, 0, err
	}
	hr, err := http.ReadRequest(c.br)
	switch {
	case c.limited.exceeded:
		return nil, http.StatusRequestHeaderFieldsTooLarge, errTooLarge
	case err != nil:
		if isConnError(err) {
			return nil, 0, err
		}
		return nil, http.StatusBadRequest, err
	}
	r := &Request{Method: hr.Method, URI: hr.RequestURI, Path: hr.URL.Path, Host: hr.Host, Header: hr.Header}
	status, err := c.readBody(hr, r, limits)
	r.Received = time.Now()
	return r, status, err
}

var errTooLarge = errors.New("the request exceeds the limits")

// bodyTimeout bounds the time for reading one body; Limits has no bound for it.
const bodyTimeout = 30 * time.Second

// readBody reads the body of a request, or sets Upload if it is long or deferred.
func (c *conn) readBody(hr *http.Request, r *Request, limits Limits) (status int, err error) {
	if hr.ContentLength > limits.BodyBytes {
		return http.StatusRequestEntityTooLarge, errTooLarge
	}
	if hr.Body == nil || hr.Body == http.NoBody {
		return 0, nil
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return 0, err
	}
	if expects := hr.Header.Get("Expect") == "100-continue"; expects && c.server.deferBodies {
		r.Upload = newUpload(hr.Body, hr.ContentLength, limits.BodyBytes, c.interruptRead)
		return 0, nil
	} else if expects {
		if _, err := io.WriteString(c.raw, continueResponse); err != nil {
			return 0, err
		}
	}
	if hr.ContentLength > InlineBodyBytes {
		r.Upload = newUpload(hr.Body, hr.ContentLength, limits.BodyBytes, c.interruptRead)
		return 0, nil
	}
	// A chunked body is longer on the wire by the sizes of its chunks, and the
	// buffer reads ahead.
	inline := min(limits.BodyBytes, InlineBodyBytes)
	c.limited.remaining = 2*inline + readBufferBytes
	body, err := io.ReadAll(io.LimitReader(hr.Body, inline+1))
	switch {
	case err != nil && isConnError(err):
		return 0, err
	case err != nil:
		return http.StatusBadRequest, err
	case int64(len(body)) > limits.BodyBytes:
		return http.StatusRequestEntityTooLarge, errTooLarge
	case int64(len(body)) > inline:
		r.Upload = newUpload(io.MultiReader(bytes.NewReader(body), hr.Body), -1, limits.BodyBytes, c.interruptRead)
		return 0, nil
	}
	r.Body = body
	return 0, nil
}

// isConnError reports whether err comes from the connection (closed, reset or timed
// out) and not from the content of the request.
func isConnError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// limitReader fails with errTooLarge once remaining bytes have been read. The
// connection sets remaining before it reads each part of a request; exceeded stays
// set.
type limitReader struct {
	inner     io.Reader
	remaining int64
	exceeded  bool
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.inner.Read(p)
	l.remaining -= int64(n)
	return n, err
}
