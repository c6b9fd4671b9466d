package call

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// HopRequest returns the request that forwards the call to the gate at addr. It
// sends the idempotency key in the header Bq-Idempotency-Key, because
// http.Transport retries requests that have the usual one. It sends the remaining
// time, at least 1 ms, in Bq-Timeout-Ms.
func HopRequest(ctx context.Context, c *Call, addr string) *http.Request {
	req := c.NewRequest(ctx, addr)
	h := req.Header
	h.Del(HeaderIdempotencyKey)
	h.Del("X-Idempotency-Key")
	h.Set(HeaderService, c.Service)
	h.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(c.Deadline).Milliseconds(), 1), 10))
	setIfNotEmpty(h, HeaderKey, c.Key)
	setIfNotEmpty(h, HeaderPeerIdempotencyKey, c.IdempotencyKey)
	if c.IssuedAtMs > 0 {
		h.Set(HeaderIssuedAt, strconv.FormatInt(c.IssuedAtMs, 10))
	}
	return req
}

// IdentityFromPeer returns the identity in a request that HopRequest built.
func IdentityFromPeer(r *http.Request) Identity {
	return Identity{
		Service: r.Header.Get(HeaderService), Key: r.Header.Get(HeaderKey),
		IdempotencyKey: r.Header.Get(HeaderPeerIdempotencyKey),
		Path:           r.URL.Path, RawPath: r.URL.RawPath,
	}
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
