package rangetarget

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// PathBad is the path at the target's address at which tests make it reject or fail a
// share of its requests.
const PathBad = "/standin/bad"

// BadRequest is the body of a call to PathBad.
type BadRequest struct {
	// Share is the share of the requests. They are rejected before they run, or answered
	// with 500 after they ran if Fail is set.
	Share float64 `json:"share"`
	Fail  bool    `json:"fail"`
	ForMs int64   `json:"forMs"`
}

// badSpell is a time in which the target rejects or fails requests.
type badSpell struct {
	BadRequest
	until time.Time
}

// hits reports whether the target rejects or, with fail, fails a request that starts
// now.
func (b badSpell) hits(fail bool) bool {
	return b.Fail == fail && time.Now().Before(b.until) && rand.Float64() < b.Share
}

// serveBad serves PathBad. It returns false if the request has another path.
func (t *target) serveBad(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != PathBad {
		return false
	}
	var call BadRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.Share <= 0 || call.ForMs <= 0 {
		http.Error(w, "not a share and a time", http.StatusBadRequest)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bad = badSpell{call, time.Now().Add(time.Duration(call.ForMs) * time.Millisecond)}
	return true
}
