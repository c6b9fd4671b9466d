// Package call represents a caller's request and its response in clusters with
// hashed shards (coord/control). The ingress accepts the request, finds the owner
// of its key and forwards the call over HTTP to the owner's gate, which checks
// ownership and limits and sends it to the target.
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

// Call is a caller's request.
type Call struct {
	Service string
	// Keyspace is the key space of a sharded service's call; empty for others.
	Keyspace string
	// Key is the caller's key. In a payment service that is not divided by key
	// the idempotency key decides the unit instead; see UnitKey.
	Key string
	// Hash is the shard hash of the key that decides the unit (UnitKey).
	Hash uint64

	Method string
	// Path is the path that the target receives, with a leading slash; RawPath
	// is its escaped form where that differs from the default encoding.
	Path    string
	RawPath string
	// Query is the encoded query without the question mark.
	Query  string
	Header http.Header
	// Body streams the body unless IsBuffered is set.
	Body io.Reader
	// Buffered is the body of a request of at most BufferedBodyBytes, so that it
	// can be sent again in a retry. It is complete only if IsBuffered is set.
	Buffered []byte
	// IsBuffered says that Buffered is the complete body, which may be empty.
	IsBuffered bool
	// Length is the body's length in bytes, -1 if unknown.
	Length int64

	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Class is admission.Payment for a payment, and admission.Browse for other
	// requests.
	Class admission.Class
	// IdempotencyKey identifies a payment. Other requests may have one, too; it is
	// only passed on.
	IdempotencyKey string
	// IssuedAtMs is the time at which the caller first issued the payment, in
	// Unix milliseconds; 0 if the caller did not send it.
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

// CurrentKeyspace returns the call's key space according to doc, which may be
// newer than the document that the call was built with. It returns false if the
// service is not sharded in doc or no rule of it covers the key.
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

// Payment reports whether the call is a payment with an idempotency record, which
// runs at most once.
func (c *Call) Payment() bool { return c.IdempotencyKey != "" && c.Class == admission.Payment }

// Idempotent reports whether running the call twice is harmless because its method
// is GET, HEAD or OPTIONS.
func (c *Call) Idempotent() bool { return IdempotentMethod(c.Method) }

// CanResend reports whether the body is buffered, so that it can be sent again in a
// retry. A body of more than BufferedBodyBytes or of unknown length is not.
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

// NewRequest returns the HTTP request of one try at host. http.Transport cannot
// send its body a second time, because GetBody is not set.
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

// IdempotentMethod reports whether method is GET, HEAD or OPTIONS, so that a request
// may run twice without an idempotency record. PUT and DELETE do not count.
func IdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
