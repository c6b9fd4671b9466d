package quarantine

import "time"

// FirstRuns lets a target run one copy at a time of a request that it has not answered
// yet, so that copies of a request that ends targets do not pile up at one of them.
// It is not safe for concurrent use.
type FirstRuns struct {
	answered Completions
	// running are the requests without an earlier answer that are running, brokenAt the
	// time of the last break of a request that is not answered since.
	running  map[Fingerprint]bool
	brokenAt map[Fingerprint]time.Duration
}

// maxBroken bounds the requests whose break is remembered.
const maxBroken = 256

// NewFirstRuns returns a FirstRuns that knows no answers.
func NewFirstRuns() *FirstRuns {
	return &FirstRuns{running: map[Fingerprint]bool{}, brokenAt: map[Fingerprint]time.Duration{}}
}

// Answered reports whether the target has answered the request, and since its last
// break if one is remembered.
func (r *FirstRuns) Answered(f Fingerprint) bool {
	since, broken := r.brokenAt[f]
	if !broken {
		since = -1
	}
	return r.answered.Since(f, since)
}

// Start reports whether a copy of the request may run now. If it is the only one
// without an earlier answer, first is set and End must be called with the result.
func (r *FirstRuns) Start(f Fingerprint) (ok, first bool) {
	switch {
	case r.Answered(f):
		return true, false
	case r.running[f]:
		return false, false
	}
	r.running[f] = true
	return true, true
}

// End records the end of the first copy.
func (r *FirstRuns) End(f Fingerprint) { delete(r.running, f) }

// RecordAnswer records that the target answered the request.
func (r *FirstRuns) RecordAnswer(now time.Duration, f Fingerprint) {
	delete(r.brokenAt, f)
	r.answered.Record(now, f)
}

// RecordBroken records that the connection of the request broke.
func (r *FirstRuns) RecordBroken(now time.Duration, f Fingerprint) {
	if _, known := r.brokenAt[f]; !known && len(r.brokenAt) >= maxBroken {
		clear(r.brokenAt) // the next answers tell which requests are harmless
	}
	r.brokenAt[f] = now
}
