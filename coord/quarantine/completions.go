package quarantine

import "time"

// maxCompletions is the number of recent completions that a process retains: some
// seconds of requests to one target.
const maxCompletions = 2048

// Completions remembers which requests a target has completed recently, because a
// process learns only later that one of them is suspected. Its zero value is empty. It
// is not safe for concurrent use.
type Completions struct {
	// last is the time of the last completion of each request in recent.
	last   map[Fingerprint]time.Duration
	recent [maxCompletions]completion
	next   int
}

type completion struct {
	fingerprint Fingerprint
	at          time.Duration
}

// Record records that the target completed a request.
func (c *Completions) Record(now time.Duration, f Fingerprint) {
	if c.last == nil {
		c.last = make(map[Fingerprint]time.Duration)
	}
	oldest := c.recent[c.next]
	if at, ok := c.last[oldest.fingerprint]; ok && at == oldest.at {
		delete(c.last, oldest.fingerprint)
	}
	c.recent[c.next] = completion{fingerprint: f, at: now}
	c.next = (c.next + 1) % maxCompletions
	c.last[f] = now
}

// Since reports whether the target completed a request after a time.
func (c *Completions) Since(f Fingerprint, from time.Duration) bool {
	at, ok := c.last[f]
	return ok && at > from
}
