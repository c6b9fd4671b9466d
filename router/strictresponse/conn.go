// Package strictresponse checks the responses that a server sends on a connection before
// net/http parses them. net/http accepts responses that RFC 9110 and RFC 9112 do not allow,
// and takes some of them for others than they are.
package strictresponse

import (
	"errors"
	"io"
	"net"
	"sync"
)

// FormatError means that a server has sent bytes that are no response. Nothing is known
// about the request, which the server may have run.
type FormatError struct{ Reason string }

// Error implements error.
func (e *FormatError) Error() string { return "malformed response: " + e.Reason }

// Responses says how many responses may follow a request.
type Responses int

const (
	// One allows one final response. Bytes after it are refused.
	One Responses = iota
	// Several also allows late responses to earlier requests, which the reader must tell
	// apart.
	Several
)

// Conn is a connection to a server. Read fails with a *FormatError at the first malformed
// line of a response, and from then on: the line does not reach the reader, and no further
// response does. Read and Write may be called by one goroutine each.
type Conn struct {
	net.Conn

	mu     sync.Mutex // guards parser and failed
	parser parser
	failed error

	writes writeState
}

// NewConn returns a connection on which nothing has been received yet.
func NewConn(inner net.Conn, responses Responses) *Conn {
	return &Conn{Conn: inner, parser: parser{responses: responses}}
}

// NetConn returns the connection that c reads from.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin must be called before a request with the method is sent. The response to the last
// one must have been read.
func (c *Conn) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.parser.begin(method); err != nil && c.failed == nil {
		c.failed = err
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, malformed := c.parser.consume(p[:n])
	if malformed != nil {
		c.failed = malformed
		if accepted == 0 {
			return 0, malformed
		}
		return accepted, nil // the next call fails
	}
	if errors.Is(err, io.EOF) && c.parser.endsWithConn() && c.wasReset() {
		c.failed = errReset
		return accepted, errReset
	}
	return accepted, err
}

// Err returns the error with which Read fails from now on, or nil. net/http may report
// another one, because it takes the begin of the malformed line for a line.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
