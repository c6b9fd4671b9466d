package relay

import (
	"errors"
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

// encodeRouting encodes the routing decision for the gate of another process, as
// fields separated by semicolons. Times are in milliseconds from now. The names of
// service, route and caller are not escaped: with a semicolon in one of them,
// decodeRouting rejects the text.
func encodeRouting(req *routedRequest, now time.Time) string {
	key := ""
	if req.sharded {
		key = strconv.Itoa(int(req.key))
	}
	return strings.Join([]string{
		req.service, req.route, strconv.Itoa(req.priority), key, req.caller,
		strconv.FormatInt(req.objective.Sub(now).Milliseconds(), 10),
		strconv.FormatInt(req.deadline.Sub(now).Milliseconds(), 10),
		strconv.FormatUint(req.version, 10),
		strconv.FormatBool(req.noWait),
	}, ";")
}

const routingFields = 9

// decodeRouting decodes the routing decision of another process's ingress. It
// returns false if the text is malformed.
func decodeRouting(text string, r *httpserver.Request, id string) (*routedRequest, bool) {
	f := strings.Split(text, ";")
	if len(f) != routingFields {
		return nil, false
	}
	priority, err1 := strconv.Atoi(f[2])
	objective, err2 := strconv.ParseInt(f[5], 10, 64)
	deadline, err3 := strconv.ParseInt(f[6], 10, 64)
	version, err4 := strconv.ParseUint(f[7], 10, 64)
	noWait, err5 := strconv.ParseBool(f[8])
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return nil, false
	}
	req := &routedRequest{
		request: r, header: forwarded(r.Header), id: id, service: f[0], route: f[1], priority: priority, caller: f[4], account: r.Header.Get(headerAccount),
		objective: r.Received.Add(time.Duration(objective) * time.Millisecond),
		deadline:  r.Received.Add(time.Duration(deadline) * time.Millisecond), version: version, noWait: noWait,
	}
	if f, err := quarantine.ParseFingerprint(r.Header.Get(headerFingerprint)); err == nil {
		req.fingerprint = f
	}
	req.removeInternalHeaders()
	if f[3] != "" {
		key, ok := parseKey(f[3])
		if !ok {
			return nil, false
		}
		req.sharded, req.key = true, key
	}
	return req, true
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

// encodeResult encodes a result without the response, waited and ran, as fields
// separated by semicolons; retryAfter is in milliseconds.
func encodeResult(r result) string {
	load := balancer.GateLoad{}
	if r.load != nil {
		load = *r.load
	}
	reached := "0"
	if r.reached {
		reached = "1"
	}
	return strings.Join([]string{
		string(r.outcome), fieldSanitizer.Replace(r.reason), strconv.FormatInt(r.retryAfter.Milliseconds(), 10), reached,
		strconv.Itoa(load.Running), strconv.Itoa(load.Limit), strconv.Itoa(load.Queued),
	}, ";")
}

// fieldSanitizer replaces the characters that end a field or a header. A reason
// may contain bytes of a target, as part of an error text.
var fieldSanitizer = strings.NewReplacer(";", ",", "\r", " ", "\n", " ")

const resultFields = 7

// decodeResult decodes the result of another process's gate. It returns false if
// the text is malformed.
func decodeResult(text string) (result, bool) {
	f := strings.Split(text, ";")
	if len(f) != resultFields {
		return result{}, false
	}
	after, err1 := strconv.ParseInt(f[2], 10, 64)
	running, err2 := strconv.Atoi(f[4])
	limit, err3 := strconv.Atoi(f[5])
	queued, err4 := strconv.Atoi(f[6])
	o := outcome(f[0])
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || (o != done && o != notRun && o != unknown) {
		return result{}, false
	}
	return result{
		outcome: o, reason: f[1], retryAfter: time.Duration(after) * time.Millisecond, reached: f[3] == "1",
		load: &balancer.GateLoad{Running: running, Limit: limit, Queued: queued},
	}, true
}
