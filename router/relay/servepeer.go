package relay

import (
	"context"
	"net/http"

	"bramleyquay.example/router/httpserver"
)

// ServePeer runs a request that the ingress of another process has routed to this
// gate, and blocks until the result is known. It is the handler of the listener for
// peers. The header Bq-Hop of the answer has the result; the status is 503 if the
// outcome is not done, or 400 if the routing decision cannot be read.
func (g *Gate) ServePeer(ctx context.Context, r *httpserver.Request) *httpserver.Response {
	req, err := decodeRouting(r.Header.Values(headerHop), r, r.Header.Get(g.names.RequestID))
	if err != nil {
		g.log.Warn().Strs("hop", r.Header.Values(headerHop)).Err(err).Msg("request of another process refused: its routing decision cannot be read")
		return g.refusePeer(http.StatusBadRequest, r, refused(withCause(reasonUnreadable, err), defaultRetryAfter))
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	res := g.do(ctx, req)
	out := &httpserver.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	if res.outcome == done {
		out.Status, out.Header, out.Body = res.response.Status, forwarded(res.response.Header), res.response.Body
		out.Header.Del(g.names.Load)
		out.Header.Del(httpserver.HeaderUnread) // a target must not claim it
	}
	if req.id != "" {
		// A target that echoes no id has answered on a connection of its own.
		out.Header.Set(g.names.RequestID, req.id)
	}
	out.Header[headerHop] = hopValues(res)
	return out
}
