package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers, the processes of the system and targets.
const (
	HeaderKey                = "Bq-Key"             // from callers, between processes and to targets
	HeaderTimeout            = "Bq-Timeout-Ms"      // remaining time in milliseconds; from callers, between processes and to targets
	HeaderDeadline           = "Bq-Deadline-Ms"     // deadline in Unix milliseconds; to targets only
	HeaderIssuedAt           = "Bq-Issued-At"       // time of the first try in Unix milliseconds; from callers and between processes
	HeaderOutcome            = "Bq-Outcome"         // outcome of the request; in responses, and "not-run" in those of targets that did not run it
	HeaderReplayed           = "Bq-Replayed"        // "true" if the response comes from an idempotency record
	HeaderLoad               = "Bq-Load"            // running/limit/queued of the gate; in its responses to an ingress
	HeaderService            = "Bq-Service"         // between processes
	HeaderPayment            = "Bq-Payment"         // not sent; reserved
	HeaderUnit               = "Bq-Unit"            // to targets, for calls that belong to a unit
	HeaderEpoch              = "Bq-Epoch"           // fencing epoch; to targets together with HeaderUnit
	HeaderPeerIdempotencyKey = "Bq-Idempotency-Key" // the idempotency key between processes; see HopRequest
	HeaderIdempotencyKey     = "Idempotency-Key"    // from callers; to targets as targetIdempotencyKey
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
// that does not make http.Transport retry the request, and removes the header
// X-Idempotency-Key, which has the same effect. An empty key removes both.
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
