package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
)

// routedRequest is a request with its routing decision. The ingress builds it
// and the gate of another process decodes it.
type routedRequest struct {
	request  *httpserver.Request
	header   http.Header // without hop-by-hop headers
	id       string
	service  string
	route    string
	priority int
	// key is valid only if sharded is set.
	sharded bool
	key     uint16
	// caller is the service whose sidecar accepted the request.
	caller string
	// account is the name of the client account, empty without one.
	account string
	// weight is that of the account in the queue of the target.
	weight float64
	// objective is the end of the latency objective; deadline is when the caller
	// stops waiting.
	objective, deadline time.Time
	// version is that of the routing document.
	version uint64
	// fingerprint identifies requests like this one of the same caller. It is zero if a
	// peer has not sent it.
	fingerprint quarantine.Fingerprint
	// noWait requests are refused at once if they cannot start at once.
	noWait bool
}

// outcome is what is known about the execution of a request at a target.
type outcome string

const (
	// done requests ran and their answer is complete.
	done outcome = "done"
	// notRun requests did not run and will not.
	notRun outcome = "not-run"
	// unknown requests may have run.
	unknown outcome = "unknown"
)

// result describes how one try ended.
type result struct {
	outcome  outcome
	response *httpclient.Response // set if done
	reason   string
	// retryAfter is the time after which the gate advises to retry a refused
	// request.
	retryAfter time.Duration
	// reached says that the request may have arrived at the target.
	reached bool
	load    *balancer.GateLoad // of the gate that sent the result; nil if no gate did
	// waited and ran are the times spent in the gate's queue and at the target. They
	// are zero in the result of another process.
	waited, ran time.Duration
	// ended says that the caller had disconnected or its deadline had passed.
	ended bool
	// notice is what the target's answer says about its state.
	notice notice
}

// maxCauseBytes bounds the text of an error in a reason, which goes to logs, to the caller
// and to other processes: it may quote what a target has sent.
const maxCauseBytes = 200

func withCause(reason string, cause error) string {
	text := cause.Error()
	if len(text) > maxCauseBytes {
		text = strings.ToValidUTF8(text[:maxCauseBytes], "") + "..."
	}
	return reason + ": " + text
}

// refused returns the result of a request that no target received.
func refused(reason string, after time.Duration) result {
	return result{outcome: notRun, reason: reason, retryAfter: after}
}

// removeInternalHeaders removes the headers that only processes may set.
func (r *routedRequest) removeInternalHeaders() {
	delete(r.header, headerHop)
	delete(r.header, headerFingerprint)
	delete(r.header, headerAccount)
}

// setFingerprint computes the fingerprint. A body that is passed on as it is read
// counts by its length only. The account is no part of it, like the other headers: a
// request that ends targets and comes from many accounts would end three for each.
func (r *routedRequest) setFingerprint() {
	length := int64(len(r.request.Body))
	if u := r.request.Upload; u != nil {
		length = u.Length
	}
	r.fingerprint = quarantine.NewFingerprint(r.request.Body, r.caller, r.request.Method, r.request.Host, r.request.URI, strconv.FormatInt(length, 10))
}
