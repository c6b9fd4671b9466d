// Package httpserver is the HTTP/1.1 server of clusters with key ranges (package
// relay): for callers, and for the requests that the ingresses of other processes
// send to a gate. In both cases "caller" means the client of a connection. Unlike
// net/http the server handles the pipelined requests of a connection concurrently
// and answers them in order. It notices that a caller has closed its connection
// while requests run, and cancels them.
package httpserver

import (
	"context"
	"net/http"
	"time"

	"bramleyquay.example/router/memory"
)

// Request is a request whose body has been read completely, unless Upload is set.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Upload is the body if it has not been read: it is longer than InlineBodyBytes,
	// or the server defers bodies. Body is then empty.
	Upload *Upload
	// Memory is charged with the request. What the handler reads for the response is
	// charged to it too. The server closes it once the response has been written.
	Memory *memory.Account
	// Received is the time when the last byte of the body had been read, or of the
	// headers if Upload is set.
	Received time.Time
	// close says that the caller asks to close the connection after the response.
	close bool
}

// InlineBodyBytes is the longest body of a caller that is read before its request is
// handled. Together with the buffers of the connection it bounds the memory that the
// body of a request takes.
const InlineBodyBytes = 256 << 10

// Response is the response to a request. The server adds Content-Length.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests. It is called concurrently, also for requests of the
// same connection. ctx is cancelled when the caller closes the connection or a
// response cannot be written, and by Server.EndRequests with the cause ErrStopping. Serve must not return nil and must not panic: unlike
// net/http the server does not recover, so a panic ends the process.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, r *Request) *Response

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) *Response { return f(ctx, r) }

// Limits bound one request. A request that exceeds HeaderBytes is answered with
// status 431, one that exceeds BodyBytes with 413. After a time-out the connection
// is closed without a response to the request that is being read. The time for
// reading a body is bounded by bodyTimeout.
type Limits struct {
	// HeaderBytes bounds the request line and the headers, BodyBytes the decoded
	// body.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the last
	// byte of its headers, IdleTimeout the wait for the next request.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultLimits returns the limits for peers, and for callers where the operator
// sets no others.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

// TextResponse returns a plain-text response; it appends a line feed to text.
func TextResponse(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, Body: []byte(text + "\n")}
}
