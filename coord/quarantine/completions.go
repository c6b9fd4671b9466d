package quarantine

import "time"

// maxCompletions is the number of recent completions that a process retains: some
// seconds of requests to one target.
const maxCompletions = 4096

// Completions remembers which requests a target has completed recently, because a
// process learns only later that one of them is suspected. It is not safe for
// concurrent use.
type Completions struct {
	recent [maxCompletions]completion
	next   int
}

type completion struct {
	fingerprint Fingerprint
	at          time.Duration
}

// Record records that the target completed a request.
func (c *Completions) Record(now time.Duration, f Fingerprint) {
	c.recent[c.next] = completion{fingerprint: f, at: now}
	c.next = (c.next + 1) % maxCompletions
}

// Since reports whether the target completed a request after a time.
func (c *Completions) Since(f Fingerprint, from time.Duration) bool {
	for i := range c.recent {
		if c.recent[i].fingerprint == f && c.recent[i].at > from {
			return true
		}
	}
	return false
}
