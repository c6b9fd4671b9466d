package rangetarget

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bramleyquay.example/router/relay"
)

// PathLimit is the path at the target's address at which tests make it name a limit.
const PathLimit = "/standin/limit"

// LimitRequest is the body of a call to PathLimit.
type LimitRequest struct {
	// PerSecond is the limit in requests per second, ForMs the time for which the
	// target names it, in milliseconds.
	PerSecond float64 `json:"perSecond"`
	ForMs     int64   `json:"forMs"`
}

// namedLimit is the limit that the target names in its answers until a time. The
// target does not enforce it.
type namedLimit struct {
	perSecond float64
	until     time.Time
}

// at returns the limit that is named at a time, zero without one.
func (l namedLimit) at(now time.Time) float64 {
	if now.Before(l.until) {
		return l.perSecond
	}
	return 0
}

// serveLimit serves PathLimit. It returns false if the request has another path.
func (t *target) serveLimit(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != PathLimit {
		return false
	}
	var call LimitRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.PerSecond <= 0 || call.ForMs <= 0 {
		http.Error(w, "not a limit", http.StatusBadRequest)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = namedLimit{perSecond: call.PerSecond, until: time.Now().Add(time.Duration(call.ForMs) * time.Millisecond)}
	return true
}

// setNotices adds what the target says about its own state to the headers of an answer.
func (t *target) setNotices(h http.Header) {
	names := relay.DefaultHeaderNames
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit := t.limit.at(time.Now()); limit > 0 {
		h.Set(names.Limit, strconv.FormatFloat(limit, 'f', 1, 64))
	}
	if t.draining {
		h.Set(names.Leaving, "1")
	}
}
