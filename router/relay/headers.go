// Package relay forwards callers' requests to targets in fleet mode, by the
// routing document and the assigned key ranges. Each process has two roles. The
// ingress accepts a caller's request, picks a target and retries where that is
// safe. The gate checks ownership and limits right before the target of its
// own process; all requests to that target pass through it.
package relay

import (
	"net/http"
	"strconv"
	"strings"
)

// HeaderNames are the headers that callers and targets use.
type HeaderNames struct {
	// RequestID carries the id that a caller gave to one attempt of its request.
	RequestID string
	// DeadlineMs carries the remaining time until the deadline, in milliseconds.
	DeadlineMs string
	// Key carries the key of a request to a sharded service.
	Key string
	// Target names the target that the request is addressed to; any other
	// target refuses it.
	Target string
	// CallerService names the service whose sidecar accepted the request.
	CallerService string
	// NotRun marks the answer of a target that did not run the request.
	NotRun string
	// Signature marks an answer as written by a target, and not by something
	// else that listens at its address.
	Signature string
	// Load carries a target's load; it is not passed on to callers.
	Load string
}

// DefaultHeaderNames are the names that the product's own targets and callers use.
var DefaultHeaderNames = HeaderNames{
	RequestID: "Bq-Request-Id", DeadlineMs: "Bq-Timeout-Ms", Key: "Bq-Key", Target: "Bq-Target", CallerService: "Bq-Caller",
	NotRun: "Bq-Not-Run", Signature: "Bq-Signature", Load: "Bq-Load",
}

// headerHop carries the routing decision from an ingress to the gate of another
// process and, in the answer, the outcome.
const headerHop = "Bq-Hop"

// connectionHeaders are the hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization"}

// forwarded returns a copy of h without hop-by-hop headers, including those that
// h's Connection header lists.
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

// parseKey parses a key of the numeric key space, 0 to 65535.
func parseKey(text string) (uint16, bool) {
	n, err := strconv.ParseUint(text, 10, 16)
	return uint16(n), err == nil
}
