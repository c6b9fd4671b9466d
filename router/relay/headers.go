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
	// Answers repeat it; an answer with another id belongs to an earlier request
	// and is discarded.
	RequestID string
	// DeadlineMs carries the remaining time until the deadline, in milliseconds.
	DeadlineMs string
	// Key carries the key of a request to a sharded service, a decimal number from
	// 0 to 65535.
	Key string
	// Target names the target that the request is addressed to; any other
	// target refuses it.
	Target string
	// CallerService names the service whose sidecar accepted the request.
	CallerService string
	// NotRun marks the answer of a target that did not run the request.
	NotRun string
	// Signature marks an answer as written by a target. An answer with a status of
	// 200 to 299 without it counts as written by something else that listens at the
	// target's address, and its outcome is unknown. The value is not checked.
	Signature string
	// Load carries a target's load; it is not passed on to callers.
	Load string
	// Limit names the requests per second, a decimal number, that a target in
	// trouble takes from all processes together, for as long as its answers have it.
	Limit string
	// Leaving marks the answers of a target that stops.
	Leaving string
	// Authorization carries the key of the caller's account, after
	// AuthorizationScheme and a space. It is not passed on while the routing document
	// has accounts.
	Authorization, AuthorizationScheme string
	// Account tells the target the name of the account. While the document has
	// accounts, only the ingress sets it.
	Account string
}

// DefaultHeaderNames are the names that the product's own targets and callers use.
var DefaultHeaderNames = HeaderNames{
	RequestID: "Bq-Request-Id", DeadlineMs: "Bq-Timeout-Ms", Key: "Bq-Key", Target: "Bq-Target", CallerService: "Bq-Caller",
	NotRun: "Bq-Not-Run", Signature: "Bq-Signature", Load: "Bq-Load", Limit: "Bq-Limit", Leaving: "Bq-Leaving",
	Authorization: "Authorization", AuthorizationScheme: "Bearer", Account: "Bq-Account",
}

// headerHop carries the routing decision from an ingress to the gate of another
// process and, in the answer, the result of the try.
const headerHop = "Bq-Hop"

// headerFingerprint carries the fingerprint of a request from an ingress to the gate of
// another process, which may get the body later. It is not part of headerHop, so that
// processes of both kinds work together during an upgrade.
const headerFingerprint = "Bq-Fingerprint"

// hopByHopHeaders apply to one connection and are not forwarded. Content-Length and
// Expect are among them, because bodies are sent complete with their own length and
// the server has answered the expectation.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization"}

// forwarded returns a copy of h without hop-by-hop headers, including those that
// h's Connection header lists.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := h.Values("Connection")
	for name, values := range h {
		out[name] = values
	}
	for _, name := range hopByHopHeaders {
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
