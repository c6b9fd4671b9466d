package httpserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleyquay.example/router/memory"
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
	writeTimeout    = 10 * time.Second
	readBufferBytes = 4 << 10
	// connBytes is the memory of a connection: its buffer, its queue and the stacks of
	// its goroutines.
	connBytes = 24 << 10
	// requestBytes is the memory of a request beside its head and its body: the stack of
	// its handler and its entries in queues.
	requestBytes = 8 << 10
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
	// reading is set while a request has been received in part, readEnded once no further
	// one is read. mu guards both; readingChanged is signalled at changes.
	reading, readEnded bool
	readingChanged     *sync.Cond
	// uploading is set while a handler reads a body from the connection. mu guards it.
	uploading bool
	// lingering is set once lingeringClose waits for the caller. mu guards it.
	lingering bool
	// written is the time at which the last response was written.
	written atomic.Pointer[time.Time]
	// bodyUnread is set if the last request was answered before its body was read. Only
	// the reader's goroutine uses it.
	bodyUnread bool
	cancel     context.CancelFunc
	ctx        context.Context
	memory     *memory.Account
}

// exchange is one request in the queue of responses. last says that the connection
// is closed after its response, because the caller asked for that or the request
// was rejected.
type exchange struct {
	response chan *Response
	method   string
	last     bool
	upload   *Upload
	memory   *memory.Account
}

// endsConnection reports whether the connection is closed after the response: also if
// a part of the body has not been read. It is called once the handler has returned.
func (x exchange) endsConnection(deferred bool) bool {
	if x.upload == nil {
		return x.last
	}
	return x.last || !x.upload.end() && (x.upload.IsOpened() || !deferred)
}

func newConn(s *Server, raw net.Conn, account *memory.Account) *conn {
	c := &conn{server: s, raw: raw, memory: account, limited: &limitReader{inner: raw}, queue: make(chan exchange, maxPipelined)}
	c.readingChanged = sync.NewCond(&c.mu)
	c.br = bufio.NewReaderSize(c.limited, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(s.requests)
	return c
}

func (c *conn) run() {
	defer c.server.removeConn(c)
	done := make(chan struct{})
	go func() { defer close(done); c.writeResponses() }()
	callerDisconnected := c.readRequests()
	c.endReading()
	if callerDisconnected {
		// Nobody receives the responses of the requests that still run.
		c.cancel()
	}
	close(c.queue)
	<-done
	c.cancel()
	c.writeUnread()
	c.lingeringClose()
}

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
				c.bodyUnread = status == http.StatusRequestEntityTooLarge || errors.Is(err, memory.ErrExhausted)
				c.logRefusal(status, err)
				c.rejectAndClose(c.server.refusal(status, r))
				return false
			}
			if isTimeout(err) {
				// The idle, header or body time-out has passed, or interruptRead
				// was called: the pending responses are written, and then the
				// connection is closed.
				return c.awaitResponses()
			}
			c.broken.Store(true)
			return true
		}
		last := r.close
		x := exchange{response: make(chan *Response, 1), method: r.Method, last: last, upload: r.Upload, memory: r.Memory}
		if !c.admit(r.Upload == nil && c.br.Buffered() > 0) {
			r.Memory.Close()
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

// logRefusal logs that a request is refused. The cause of status 400 is left out: it quotes the
// head, which may have a caller's key.
func (c *conn) logRefusal(status int, err error) {
	e := c.server.log.Warn().Int("status", status).Str("from", c.raw.RemoteAddr().String())
	if status != http.StatusBadRequest {
		e.Err(err)
	}
	e.Msg("request refused")
}

// disconnectCheckInterval is the time between two checks whether the caller has
// closed the connection or the last response has been written.
const disconnectCheckInterval = 50 * time.Millisecond

// rejectAndClose queues an error response after which the connection is closed.
func (c *conn) rejectAndClose(resp *Response) {
	x := exchange{response: make(chan *Response, 1), last: true}
	x.response <- resp
	if c.admit(false) {
		c.queue <- x
	}
}
