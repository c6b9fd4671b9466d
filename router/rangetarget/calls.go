package rangetarget

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/relay"
)

const (
	// maxLateGrant bounds the time after which a grant without an answer is applied.
	maxLateGrant = 2 * time.Second
	// releasePoll is the time between two checks whether the requests of a range that
	// is being released have ended.
	releasePoll = 5 * time.Millisecond
)

// serveCall serves the calls that grant ranges and release them. It returns false if
// the request is none of them.
func (t *target) serveCall(w http.ResponseWriter, r *http.Request) bool {
	if !t.cfg.GrantsByRequest || r.URL.Path != fleetdaemon.PathGrant && r.URL.Path != fleetdaemon.PathRelease {
		return false
	}
	arrived := time.Now()
	w.Header().Set(relay.DefaultHeaderNames.RequestID, r.Header.Get(relay.DefaultHeaderNames.RequestID))
	var call fleetdaemon.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.From > call.To {
		http.Error(w, "not a range of keys", http.StatusBadRequest)
		return true
	}
	_, _ = io.Copy(io.Discard, r.Body) // the context ends with the connection only after the end of the body
	if r.URL.Path == fleetdaemon.PathGrant {
		hold := time.Duration(call.HoldMs) * time.Millisecond
		t.serveGrant(w, r, call, arrived.Add(min(hold, time.Until(time.UnixMilli(call.UntilMs)))))
	} else {
		t.serveRelease(w, r, call.Range)
	}
	return true
}

// serveGrant applies a grant. A share LateGrants of them is applied late and gets no
// answer.
func (t *target) serveGrant(w http.ResponseWriter, r *http.Request, call fleetdaemon.GrantRequest, validUntil time.Time) {
	late := rand.Float64() < t.cfg.LateGrants
	if late {
		time.Sleep(time.Duration(rand.Int64N(int64(maxLateGrant))))
	}
	t.mu.Lock()
	t.keys.expire(time.Now())
	ok := t.keys.grantRange(call.Range, validUntil)
	t.mu.Unlock()
	if late {
		<-r.Context().Done() // the caller gives up
		return
	}
	if !ok {
		http.Error(w, "a higher fence was seen", http.StatusConflict)
	}
}

// serveRelease stops new requests of a range and answers when the running ones have
// ended.
func (t *target) serveRelease(w http.ResponseWriter, r *http.Request, keyRange fleetdaemon.Range) {
	t.mu.Lock()
	t.keys.startRelease(keyRange)
	t.mu.Unlock()
	for r.Context().Err() == nil {
		t.mu.Lock()
		done := t.keys.finishRelease(keyRange)
		t.mu.Unlock()
		if done {
			w.Header().Set(fleetdaemon.HeaderHandover, newHandoverToken())
			return
		}
		time.Sleep(releasePoll)
	}
}
