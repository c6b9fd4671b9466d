// Package httpclient is an HTTP/1.1 client for one address, a target or the gate of
// another process, in clusters with key ranges (package relay). Unlike net/http it
// never retries a request by itself. It returns complete responses only, and its
// errors tell whether the request may have run.
package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleyquay.example/router/memory"
	"bramleyquay.example/router/netopt"
)

// Config configures a Client.
type Config struct {
	Address string
	// RequestIDHeader names the header in which responses echo the request's id.
	// A response with another id is the late response to an earlier request: Do
	// drops it and waits for the next one. A response without the header is
	// accepted on a new connection only, which is then not reused.
	RequestIDHeader string
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time for which an idle connection can be reused, unless
	// keepAliveFraction of the time-out in the server's Keep-Alive header is
	// shorter.
	IdleTimeout time.Duration
	// StallTimeout is the time for which the server may pause reading a long body. Without
	// one, and if it is zero, an unreachable server is noticed after netopt.UserTimeout:
	// a short request does not fill the connection.
	StallTimeout time.Duration
	// ResetOnCancel resets the connection if ctx ends before the response, so that the
	// bytes that are still to be sent are discarded.
	ResetOnCancel bool
	// UnreadHeader, if set, marks a response that answers no request: the server says that
	// it closes the connection and has not run the request that was sent last. Do returns a
	// *NotSentError with an *UnreadError as the cause.
	UnreadHeader string
	// FailOnRestart makes Do return a *NotSentError, until Resume is called, if the server
	// may have been restarted since an earlier request: no connection is left that was
	// open then. Idle connections prove that it goes on also after
	// IdleTimeout.
	FailOnRestart bool
	// MaxBody bounds the body of a response in bytes. Do returns an
	// *IncompleteResponseError for a longer one.
	MaxBody int64
}

// Request is a request. Do adds the headers Host, Content-Length, Transfer-Encoding
// and Expect; Header must not contain them.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Source, if set, is the body instead of Body.
	Source *Source
	// AwaitContinue sends the body only after the answer 100 Continue. After another
	// answer it is not sent at all, and until then a failure is a *NotSentError.
	AwaitContinue bool
	// ID is the id that a response must echo. A request without one, and one whose id
	// a connection has had before, is sent on another connection. Do does not send it:
	// Header must contain it under Config.RequestIDHeader.
	ID string
	// Memory is charged with the exchange and the response. Do returns a *NotSentError
	// if it has no room for the request, and an *IncompleteResponseError if it has none
	// for the response; both then wrap memory.ErrExhausted.
	Memory *memory.Account
}

// Source is a body that is read while it is sent.
type Source struct {
	// Length is the length in bytes, or -1 if it is not known.
	Length int64
	// Open returns the body. It is called once, when the body is sent.
	Open func() (io.Reader, error)
}

// SourceError means that the body could not be read to its end. The server got a part
// of it that it cannot take for the whole.
type SourceError struct{ Cause error }

// Error implements error.
func (e *SourceError) Error() string { return "body not readable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Cause }

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotSentError means that no byte of the request was sent, or that the server has said
// that it does not run it.
type NotSentError struct {
	Cause error
	// Refused says that the connection was refused (ECONNREFUSED): no process
	// listens on the address. It is false after a time-out and for an unreachable
	// machine.
	Refused bool
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnreadError means that the server has said that it closes the connection and has not run
// the request (Config.UnreadHeader).
type UnreadError struct {
	// Header is that of the response in which it said so.
	Header http.Header
}

// Error implements error.
func (e *UnreadError) Error() string { return "the server has not read the request" }

// IncompleteResponseError means that the request may have run, but no complete
// response was received.
type IncompleteResponseError struct{ Cause error }

// Error implements error.
func (e *IncompleteResponseError) Error() string { return "no whole answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// Client sends requests to one address and reuses connections. It is safe for
// concurrent use.
type Client struct {
	cfg Config

	mu   sync.Mutex
	idle []*persistConn // in order of last use, the most recent last
	// spent is an idle connection that carries no request. It is kept with
	// Config.FailOnRestart only.
	spent *persistConn
	// server is used with Config.FailOnRestart only.
	server continuity
	opened uint64
}

// New returns a client. It opens connections when they are needed.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request and blocks until the complete response has been read or ctx
// ends. If ctx ends first it closes the connection, so that the server can cancel
// its work. The error is a *NotSentError if the request did not run, and an
// *IncompleteResponseError if it may have run.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	if err := r.check(); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	size := r.exchangeBytes()
	if err := r.Memory.Grow(size); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	defer r.Memory.Shrink(size)
	if err := c.begin(); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	resp, err := c.exchange(ctx, r)
	c.end(err == nil)
	return resp, err
}

// exchange sends a request on a connection and receives its response.
func (c *Client) exchange(ctx context.Context, r *Request) (*Response, error) {
	pc, err := c.acquireConn(ctx, r.ID)
	if err != nil {
		return nil, &NotSentError{Cause: err, Refused: isRefused(err)}
	}
	mayStall := c.cfg.StallTimeout > 0 && r.hasLongBody()
	if mayStall {
		if err := netopt.SetUserTimeout(pc.raw, c.cfg.StallTimeout); err != nil {
			_ = pc.raw.Close() // nothing was sent on it
			return nil, &NotSentError{Cause: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { pc.abort(c.cfg.ResetOnCancel) })
	x := newExchange(pc, r)
	resp, reuse, err := x.run(c.cfg)
	if !stop() {
		reuse = false
		if err != nil {
			err = context.Cause(ctx)
		}
	}
	if mayStall {
		reuse = reuse && netopt.SetUserTimeout(pc.raw, netopt.UserTimeout) == nil
	}
	if err != nil || !reuse {
		_ = pc.raw.Close() // it is not used any more
	} else {
		c.putIdle(pc)
	}
	var unread *UnreadError
	switch {
	case err != nil && (r.AwaitContinue && !x.continued() || errors.As(err, &unread)):
		return nil, &NotSentError{Cause: err}
	case err != nil:
		return nil, &IncompleteResponseError{Cause: err}
	}
	return resp, nil
}

// readBody reads the body of a response.
func readBody(hr *http.Response, account *memory.Account, limit int64) ([]byte, error) {
	defer func() { _ = hr.Body.Close() }() // the read has returned all errors
	length := hr.ContentLength
	if hr.Body == http.NoBody {
		length = 0
	}
	return memory.ReadAll(account, hr.Body, length, limit)
}

// keepAliveFraction is the part of the time-out in the server's Keep-Alive header
// during which an idle connection is reused. The header gives whole seconds, and
// a request that is sent while the server closes the connection may be lost.
const keepAliveFraction = 0.6

// parseKeepAlive returns the timeout in a Keep-Alive header and whether there is
// one.
func parseKeepAlive(header string) (time.Duration, bool) {
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
