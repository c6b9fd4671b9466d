// Package relay carries requests from callers to targets by the operator's
// routes. Each process has two roles: the ingress picks the target and tries
// again where that is safe; the gate, beside the owner, is the only way to its
// target.
package relay

import (
	"net/http"
	"strconv"
	"strings"
)

// HeaderNames are the headers that callers and targets use.
type HeaderNames struct {
	// RequestID carries the id of one attempt of a caller.
	RequestID string
	// DeadlineMs carries the time that is left, in milliseconds.
	DeadlineMs string
	// Key carries the key of a request to a sharded service.
	Key string
	// Target names the target that is meant; another one does not run the
	// request.
	Target string
	// CallerService names the service beside which a request began.
	CallerService string
	// NotRun marks a target's answer to a request that it did not run.
	NotRun string
	// Signature marks an answer that a target made.
	Signature string
	// Load carries a target's load.
	Load string
}

// DefaultHeaderNames are the headers of the product's own targets and callers.
var DefaultHeaderNames = HeaderNames{
	RequestID: "Bq-Request-Id", DeadlineMs: "Bq-Timeout-Ms", Key: "Bq-Key", Target: "Bq-Target", CallerService: "Bq-Caller",
	NotRun: "Bq-Not-Run", Signature: "Bq-Signature", Load: "Bq-Load",
}

// headerHop carries the routing decision from the ingress to the gate, and the
// outcome back.
const headerHop = "Bq-Hop"

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization"}

// forwarded returns a copy of h without the headers of one connection.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := h.Values("Connection")
	for name, values := range h {
		out[name] = values
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	for _, v := range named {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// parseKey reads a key of the numeric key space.
func parseKey(text string) (uint16, bool) {
	n, err := strconv.ParseUint(text, 10, 16)
	return uint16(n), err == nil
}
