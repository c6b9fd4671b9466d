package call

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyquay.example/coord/outcome"
)

// maxRefusalBytes bounds the refusal body read from a peer.
const maxRefusalBytes = 4 << 10

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RetryAfterMs int64           `json:"retryAfterMs"`
	Detail       string          `json:"detail,omitempty"`
	OwnerAddr    string          `json:"ownerAddr,omitempty"`
	OwnerEpoch   uint64          `json:"ownerEpoch,omitempty"`
}

// WriteRefusal writes a refusal as the response to a caller or peer. Retry-After is
// in seconds, rounded up; the body has milliseconds.
func WriteRefusal(w http.ResponseWriter, r *outcome.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(Status(r))
	body := refusalBody{Outcome: r.Outcome, Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds(), Detail: shorten(r.Detail), OwnerAddr: r.OwnerAddr, OwnerEpoch: r.OwnerEpoch}
	_ = json.NewEncoder(w).Encode(body) // the caller may have closed the connection
}

// maxDetailBytes bounds the detail of a refusal, which may quote bytes of a target: in JSON,
// where a byte may take six, it is a part of maxRefusalBytes.
const maxDetailBytes = maxRefusalBytes / 8

func shorten(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetailBytes], "") + "..."
}

// ReadRefusal returns the refusal in a peer's response, and false if the response
// does not have the outcome of a refusal. If the body cannot be read or decoded, or
// is longer than maxRefusalBytes, the reason is ReasonConnectionFailed. It does not
// close the body.
func ReadRefusal(resp *http.Response) (*outcome.Refusal, bool) {
	o := outcome.Outcome(resp.Header.Get(HeaderOutcome))
	if o != outcome.NotRun && o != outcome.Unknown {
		return nil, false
	}
	r := &outcome.Refusal{Outcome: o, Reason: outcome.ReasonConnectionFailed}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var body refusalBody
	if err == nil && json.Unmarshal(data, &body) == nil {
		r.Reason, r.Detail = body.Reason, body.Detail
		r.OwnerAddr, r.OwnerEpoch = body.OwnerAddr, body.OwnerEpoch
		r.RetryAfter = time.Duration(body.RetryAfterMs) * time.Millisecond
	}
	return r, true
}

// Status returns the HTTP status of a refusal.
func Status(r *outcome.Refusal) int {
	switch r.Reason {
	case outcome.ReasonBadRequest, outcome.ReasonRecordExpired:
		return http.StatusBadRequest
	case outcome.ReasonNoService, outcome.ReasonNoRule:
		return http.StatusNotFound
	case outcome.ReasonBodyMismatch:
		return http.StatusUnprocessableEntity
	case outcome.ReasonInProgress:
		return http.StatusConflict
	case outcome.ReasonQueueFull, outcome.ReasonShed:
		return http.StatusTooManyRequests
	case outcome.ReasonUpstreamBroken, outcome.ReasonConnectionFailed:
		return http.StatusBadGateway
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// AsRefusal returns the refusal that err wraps. For other errors it returns one
// with outcome unknown.
func AsRefusal(err error) *outcome.Refusal {
	var r *outcome.Refusal
	if errors.As(err, &r) {
		return r
	}
	return outcome.NewUnknown(outcome.ReasonConnectionFailed, err.Error())
}
