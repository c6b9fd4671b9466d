package relay

import (
	"context"
	"sync"
	"time"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/router/timesource"
)

// firstRuns lets goroutines wait for the decisions of a quarantine.FirstRuns. Its
// methods may be called concurrently.
type firstRuns struct {
	mu      sync.Mutex
	runs    *quarantine.FirstRuns
	changed chan struct{}
}

func newFirstRuns() *firstRuns {
	return &firstRuns{runs: quarantine.NewFirstRuns(), changed: make(chan struct{})}
}

// acquire blocks until a copy of the request may run, and returns the function to call
// after it. It returns false and the refusal if another copy of a request without an
// earlier answer still runs at the end of the latency objective, or at once if the
// request does not wait.
func (r *firstRuns) acquire(ctx context.Context, req *routedRequest) (release func(), refusal result, ok bool) {
	if req.fingerprint == 0 {
		return func() {}, result{}, true
	}
	for {
		r.mu.Lock()
		started, first := r.runs.Start(req.fingerprint)
		changed := r.changed
		r.mu.Unlock()
		switch {
		case started && first:
			return func() { r.update(func() { r.runs.End(req.fingerprint) }) }, result{}, true
		case started:
			return func() {}, result{}, true
		case req.noWait:
			return nil, refused(dispatch.ReasonNoFreeSlot, minRetryAfter), false
		}
		select {
		case <-changed:
		case <-time.After(time.Until(req.objective)):
			return nil, refused(reasonFirstRun, minRetryAfter), false
		case <-ctx.Done():
			return nil, refused(waitEndedReason(ctx), 0), false
		}
	}
}

// update changes the runs and wakes the requests that wait for them.
func (r *firstRuns) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

// recordAnswer records that the target answered a request.
func (r *firstRuns) recordAnswer(f quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs.RecordAnswer(timesource.Now().Mono, f)
}

// recordBroken records that the connection of a request broke. It reports whether the
// target had not answered such a request before.
func (r *firstRuns) recordBroken(f quarantine.Fingerprint) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = !r.runs.Answered(f)
	r.runs.RecordBroken(timesource.Now().Mono, f)
	return first
}
