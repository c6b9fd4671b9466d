// Package httpserver serves HTTP/1.1 connections of callers. It reads ahead: the
// requests of one connection run side by side and are answered in order, and
// a caller that leaves is noticed while its requests run.
package httpserver

import (
	"context"
	"net/http"
	"time"
)

// Request is one request with its whole body.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the request had been read whole.
	Received time.Time
}

// Response is the answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests. The context ends when the caller leaves.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, r *Request) *Response

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) *Response { return f(ctx, r) }

// Limits bound what one caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to its
	// last one of the head; IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultLimits are in force before the operator has set any.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

// TextResponse returns an answer with a short text.
func TextResponse(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, Body: []byte(text + "\n")}
}
