package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers, the processes of the system and targets.
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

// targetIdempotencyKey is the name of the idempotency key in the header map of a
// request to a target. It is not in canonical form on purpose: http.Transport
// retries a request on a broken connection if the map has the canonical name.
const targetIdempotencyKey = "idempotency-key"

// hopByHopHeaders apply to one connection only and are not forwarded. Expect is
// among them, because the server has answered it already.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end headers from src to dst. It leaves out the
// system's own headers (Bq-*) and hop-by-hop headers, including those that the
// Connection header lists.
func CopyHeader(dst, src http.Header) {
	listed := connectionTokens(src)
	for name, values := range src {
		if listed[name] || isInternalHeader(name) || isHopByHopHeader(name) {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// SetIdempotencyKey sets the idempotency key on a request to a target under a name
// that does not make http.Transport retry the request. An empty key removes it.
func SetIdempotencyKey(h http.Header, key string) {
	h.Del(HeaderIdempotencyKey)
	h.Del("X-Idempotency-Key")
	if key != "" {
		h[targetIdempotencyKey] = []string{key}
	}
}

// isInternalHeader reports whether only this system may set the header. Names with
// an underscore are included, because some targets treat both spellings alike.
func isInternalHeader(name string) bool {
	return strings.HasPrefix(name, "Bq-") || strings.HasPrefix(name, "Bq_")
}

// connectionTokens returns the header names that the Connection header lists, in
// canonical form.
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

func isHopByHopHeader(name string) bool {
	for _, h := range hopByHopHeaders {
		if name == h {
			return true
		}
	}
	return false
}
