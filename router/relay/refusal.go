package relay

import (
	"net/http"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/router/httpserver"
)

// RefuseCaller is the httpserver.Refusal for callers' requests.
func RefuseCaller(status int, r *httpserver.Request) *httpserver.Response {
	if status != http.StatusServiceUnavailable {
		return httpserver.RefuseWithText(status, r)
	}
	resp := httpserver.TextResponse(status, reasonNoMemory)
	setRetryAfter(resp, defaultRetryAfter)
	return resp
}

// RefusePeer is the httpserver.Refusal for requests of other processes' ingresses.
func (g *Gate) RefusePeer(status int, r *httpserver.Request) *httpserver.Response {
	reason := reasonNoMemory
	if status != http.StatusServiceUnavailable {
		reason = reasonUnreadable + ": " + http.StatusText(status)
	}
	return g.refusePeer(status, r, refused(reason, defaultRetryAfter))
}

// refusePeer returns the response to a request of another process that does not run. r is
// nil if its head has not been read.
func (g *Gate) refusePeer(status int, r *httpserver.Request, result result) *httpserver.Response {
	result.load = &balancer.GateLoad{}
	if t, ok := g.agent.Target(); ok {
		result.load.Weight = g.quality.weight(t.Incarnation)
	}
	out := &httpserver.Response{Status: status, Header: http.Header{headerHop: hopValues(result)}}
	switch {
	case r == nil:
		// Without the id of its request the answer is not attributed to it on a
		// connection that has carried others.
		out.Header.Set(httpserver.HeaderUnread, "1")
	case r.Header.Get(g.names.RequestID) != "":
		out.Header.Set(g.names.RequestID, r.Header.Get(g.names.RequestID))
	}
	return out
}
