package relay

import (
	"net/http"
	"strconv"
	"time"

	"bramleyquay.example/router/httpserver"
)

// deadlineSlack covers the rounding of the remaining time to milliseconds between
// ingress and gate: a try that ends this shortly before the deadline counts as
// ended by the deadline.
const deadlineSlack = 5 * time.Millisecond

// answer returns the response for the caller after the last try: 413 if the body
// exceeded the limit while it was passed on, so that no target got it whole; the target's
// answer if there is one, which may be an earlier one with a status of 500 or
// higher; otherwise 504 if the caller has disconnected, which callerLeft says, 503
// if the request did not run, 504 if the deadline has passed, and 502 in all other
// cases.
func (in *Ingress) answer(st *requestState, callerLeft bool) *httpserver.Response {
	r := &st.last
	if r.outcome != done && st.lastServerError != nil {
		r = st.lastServerError
	}
	upload := st.request.upload()
	switch {
	case upload != nil && upload.IsTooLong():
		return in.failure(st, http.StatusRequestEntityTooLarge)
	case r.outcome == done:
		h := forwarded(r.response.Header)
		h.Del(in.names.Load)
		return &httpserver.Response{Status: r.response.Status, Header: h, Body: r.response.Body}
	case callerLeft:
		return in.failure(st, http.StatusGatewayTimeout)
	case !st.mayHaveRun:
		return in.refusal(st)
	case time.Until(st.request.deadline) < deadlineSlack:
		return in.failure(st, http.StatusGatewayTimeout)
	}
	return in.failure(st, http.StatusBadGateway)
}

// refusal returns the response for a request that did not run, with the time after
// which the caller should retry: Retry-After is in seconds with three decimals.
func (in *Ingress) refusal(st *requestState) *httpserver.Response {
	resp := in.failure(st, http.StatusServiceUnavailable)
	after := st.last.retryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	setRetryAfter(resp, after)
	return resp
}

// setRetryAfter advises the caller to retry after a time.
func setRetryAfter(resp *httpserver.Response, after time.Duration) {
	resp.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// failure returns a response with the reason of the last try.
func (in *Ingress) failure(st *requestState, status int) *httpserver.Response {
	resp := httpserver.TextResponse(status, st.last.reason)
	if st.request.id != "" {
		resp.Header.Set(in.names.RequestID, st.request.id)
	}
	return resp
}

// finish writes the log line and the metrics of an answered request.
func (in *Ingress) finish(r *httpserver.Request, st *requestState, resp *httpserver.Response) {
	took := time.Since(r.Received)
	req := st.request
	e := in.log.Info()
	if resp.Status >= http.StatusInternalServerError {
		e = in.log.Warn()
	}
	withAccount(e, req).Str("request", req.id).Str("host", r.Host).Str("path", r.Path).Str("route", req.route).Str("service", req.service)
	if req.sharded {
		owned, _ := st.view.Owner(req.service, req.key)
		e.Uint16("key", req.key).Str("owner", owned.Holder.Target).Uint64("fence", owned.Fence)
	}
	e.Int("status", resp.Status).Str("outcome", string(st.last.outcome)).Str("reason", st.last.reason).Str("at", st.process).
		Int("picks", st.picks).Int("reached", st.reached).Dur("took", took).Uint64("version", st.view.Version()).
		Uint64("rows", st.view.Revisions.Ranges).Uint64("directory", st.view.Revisions.Directory).Msg("request answered")
	count("ingress", strconv.Itoa(resp.Status))
	observe(req.service, resp.Status, took)
}
