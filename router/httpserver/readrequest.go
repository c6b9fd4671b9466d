package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"bramleyquay.example/router/memory"
)

// readRequest reads one request. If it is malformed or too large, the status is
// that of the error response; otherwise the status is 0.
func (c *conn) readRequest() (*Request, int, error) {
	limits := c.server.limits()
	c.limited.remaining = limits.HeaderBytes
	defer c.limited.head.End()
	err := c.limited.head.Start(c.memory, c.br.Buffered())
	if err == nil {
		err = c.awaitFirstByte(limits.IdleTimeout)
	}
	if errors.Is(err, memory.ErrExhausted) {
		return nil, http.StatusServiceUnavailable, err
	} else if err != nil {
		return nil, 0, err
	}
	// The limits may have changed while the connection was idle.
	earlier := limits.HeaderBytes
	limits = c.server.limits()
	c.limited.remaining += limits.HeaderBytes - earlier
	if err := c.setReadDeadline(limits.HeaderTimeout); err != nil {
		return nil, 0, err
	}
	c.limited.failure = nil
	hr, err := http.ReadRequest(c.br)
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return nil, http.StatusServiceUnavailable, err
	case c.limited.exceeded:
		return nil, http.StatusRequestHeaderFieldsTooLarge, errTooLarge
	case err != nil && c.limited.failure != nil:
		return nil, 0, c.limited.failure
	case err != nil && isConnError(err):
		return nil, 0, err
	case err != nil:
		return nil, http.StatusBadRequest, err
	}
	r := &Request{Method: hr.Method, URI: hr.RequestURI, Path: hr.URL.Path, Host: hr.Host, Header: hr.Header, Memory: c.server.memory.Open(), close: hr.Close}
	status := http.StatusServiceUnavailable
	c.limited.head.End()
	if err = r.Memory.Grow(requestBytes + memory.HeaderBytes(r.Header)); err == nil {
		status, err = c.readBody(hr, r, limits)
	}
	r.Received = time.Now()
	if err != nil {
		r.Memory.Close()
	}
	return r, status, err
}

var errTooLarge = errors.New("the request exceeds the limits")

// isConnError reports whether err comes from the connection (closed, reset or timed
// out) and not from the content of the request.
func isConnError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}
