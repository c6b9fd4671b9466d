package relay

import (
	"net/http"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/router/httpserver"
)

// RefuseCaller returns the response to a caller's request for which there is no memory.
func RefuseCaller(*httpserver.Request) *httpserver.Response {
	resp := httpserver.TextResponse(http.StatusServiceUnavailable, reasonNoMemory)
	setRetryAfter(resp, defaultRetryAfter)
	return resp
}

// RefusePeer returns the response to a request of another process's ingress for which
// there is no memory. r is nil if its head has not been read either.
func (g *Gate) RefusePeer(r *httpserver.Request) *httpserver.Response {
	result := refused(reasonNoMemory, defaultRetryAfter)
	result.load = &balancer.GateLoad{}
	if t, ok := g.agent.Target(); ok {
		result.load.Weight = g.quality.weight(t.Incarnation)
	}
	out := &httpserver.Response{Status: http.StatusServiceUnavailable, Header: http.Header{headerHop: hopValues(result)}}
	if r != nil {
		out.Header.Set(g.names.RequestID, r.Header.Get(g.names.RequestID))
	}
	return out
}
