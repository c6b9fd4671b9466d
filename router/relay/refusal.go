package relay

import (
	"net/http"
	"strconv"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/router/httpserver"
)

// RefuseCaller returns the response to a caller's request for which there is no memory.
func RefuseCaller() *httpserver.Response {
	resp := httpserver.TextResponse(http.StatusServiceUnavailable, reasonNoMemory)
	resp.Header.Set("Retry-After", strconv.FormatFloat(defaultRetryAfter.Seconds(), 'f', 3, 64))
	return resp
}

// RefusePeer returns the response to a request of another process's ingress for which
// there is no memory.
func RefusePeer() *httpserver.Response {
	r := refused(reasonNoMemory, defaultRetryAfter)
	r.load = &balancer.GateLoad{}
	return &httpserver.Response{Status: http.StatusServiceUnavailable, Header: http.Header{headerHop: {encodeResult(r)}}}
}
