package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the callers' and the processes' interface.
const (
	HeaderKey                = "Bq-Key"
	HeaderTimeout            = "Bq-Timeout-Ms"
	HeaderDeadline           = "Bq-Deadline-Ms"
	HeaderIssuedAt           = "Bq-Issued-At"
	HeaderOutcome            = "Bq-Outcome"
	HeaderReplayed           = "Bq-Replayed"
	HeaderLoad               = "Bq-Load"
	HeaderService            = "Bq-Service"
	HeaderPayment            = "Bq-Payment"
	HeaderUnit               = "Bq-Unit"
	HeaderEpoch              = "Bq-Epoch"
	HeaderPeerIdempotencyKey = "Bq-Idempotency-Key"
	HeaderIdempotencyKey     = "Idempotency-Key"
)

// targetIdempotencyKey is the header's name in the map of an outgoing request.
// It is not in canonical form on purpose: http.Transport repeats a request on
// a broken connection when it finds the canonical name in the map.
const targetIdempotencyKey = "idempotency-key"

// hopHeaders are meaningful for one connection only. Expect is among them,
// because the listener has answered it already.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies end-to-end headers from src to dst and leaves out
// everything that only this system or one connection uses.
func CopyHeader(dst, src http.Header) {
	listed := connectionTokens(src)
	for name, values := range src {
		if listed[name] || isOwnHeader(name) || isHopHeader(name) {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// SetIdempotencyKey sets the key on a request to a target in a way that
// http.Transport does not take as permission to repeat the request.
func SetIdempotencyKey(h http.Header, key string) {
	h.Del(HeaderIdempotencyKey)
	h.Del("X-Idempotency-Key")
	if key != "" {
		h[targetIdempotencyKey] = []string{key}
	}
}

// isOwnHeader reports whether only this system may set the header. The spelling
// with an underscore is included, because some targets read both as the same.
func isOwnHeader(name string) bool {
	return strings.HasPrefix(name, "Bq-") || strings.HasPrefix(name, "Bq_")
}

func connectionTokens(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return listed
}

func isHopHeader(name string) bool {
	for _, h := range hopHeaders {
		if name == h {
			return true
		}
	}
	return false
}
