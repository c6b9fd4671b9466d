// Package call holds a caller's request and its answer on the way between
// ingress, gate and target.
package call

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"bramleyquay.example/coord/admission"
	"bramleyquay.example/coord/config"
)

// Call is one request of a caller.
type Call struct {
	Service string
	// Keyspace names the units of a sharded service; empty for others.
	Keyspace string
	// Key is the caller's key, or the idempotency key in a payment service
	// that is not divided by key.
	Key  string
	Hash uint64

	Method string
	// Path is what the target sees, with a leading slash; RawPath is its
	// escaped form where that differs from the default encoding.
	Path    string
	RawPath string
	Query   string
	Header  http.Header
	// Body streams the body unless Buffered is set.
	Body io.Reader
	// Buffered holds the whole body of a small request, so that it can be
	// sent again.
	Buffered []byte
	// IsBuffered says that Buffered is the whole body, which may be empty.
	IsBuffered bool
	// Length is the body's length in bytes, -1 if unknown.
	Length int64

	Deadline time.Time
	Class    admission.Class
	// IdempotencyKey names a payment; empty for other requests.
	IdempotencyKey string
	// IssuedAtMs is when the caller first issued the payment, in Unix
	// milliseconds; 0 if it did not say.
	IssuedAtMs int64
}

// Sharded reports whether only the owner of the call's unit may run it.
func (c *Call) Sharded() bool { return c.Keyspace != "" }

// UnitKey returns the key that decides which unit the call belongs to.
func (c *Call) UnitKey(s *config.Service) string {
	if s.Keyed {
		return c.Key
	}
	return c.IdempotencyKey
}

// CurrentKeyspace returns the key space of a sharded call by a document that
// may be newer than the one it was built with.
func (c *Call) CurrentKeyspace(doc *config.Document) (string, bool) {
	if doc == nil {
		return "", false
	}
	s := doc.Service(c.Service)
	if s == nil || !s.Sharded() {
		return "", false
	}
	return s.KeyspaceOf(c.UnitKey(s))
}

// Payment reports whether the call is recorded and runs at most once.
func (c *Call) Payment() bool { return c.IdempotencyKey != "" && c.Class == admission.Payment }

// Idempotent reports whether running the call twice is harmless.
func (c *Call) Idempotent() bool { return IdempotentMethod(c.Method) }

// CanResend reports whether the body can be sent again.
func (c *Call) CanResend() bool { return c.IsBuffered }

// RequestBody returns the body for one try. A body that is not buffered can be
// used for one try only.
func (c *Call) RequestBody() io.Reader {
	switch {
	case c.IsBuffered && len(c.Buffered) > 0:
		return bytes.NewReader(c.Buffered)
	case c.IsBuffered || c.Body == nil:
		return http.NoBody
	default:
		return c.Body
	}
}

// NewRequest returns a request for one try at host. Its body cannot be sent
// again by http.Transport, because GetBody is not set.
func (c *Call) NewRequest(ctx context.Context, host string) *http.Request {
	req := (&http.Request{
		Method: c.Method, Host: host,
		URL:   &url.URL{Scheme: "http", Host: host, Path: c.Path, RawPath: c.RawPath, RawQuery: c.Query},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(c.Header)+8),
	}).WithContext(ctx)
	body := c.RequestBody()
	if body == http.NoBody {
		req.Body = http.NoBody
	} else {
		req.Body, req.ContentLength = io.NopCloser(body), c.Length
	}
	CopyHeader(req.Header, c.Header)
	return req
}

// EscapedPath returns the path as the target receives it.
func (c *Call) EscapedPath() string {
	return (&url.URL{Path: c.Path, RawPath: c.RawPath}).EscapedPath()
}

// IdempotentMethod reports whether a method may be repeated.
func IdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
