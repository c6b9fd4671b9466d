package operatorrpc

import (
	"sync"
	"time"
)

// firstSeen holds the times at which this process first listed each pending action
// for an operator, which may be long after it was proposed. They are only
// displayed.
type firstSeen struct {
	mu    sync.Mutex
	times map[string]time.Time
}

func newFirstSeen() *firstSeen {
	return &firstSeen{times: map[string]time.Time{}}
}

// maxFirstSeen bounds the number of stored times. When it is reached all of them
// are deleted, and actions that still wait get a new time.
const maxFirstSeen = 4_096

// timeOf returns when an action was first listed, which is now for a new one. An
// action that is proposed again under the same id keeps its earlier time.
func (f *firstSeen) timeOf(action string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t, ok := f.times[action]; ok {
		return t
	}
	if len(f.times) >= maxFirstSeen {
		clear(f.times)
	}
	f.times[action] = time.Now()
	return f.times[action]
}
