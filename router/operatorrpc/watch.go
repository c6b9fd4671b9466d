package operatorrpc

import (
	"sync"
	"time"
)

// watch remembers when this process first saw a pending action, for display
// only.
type watch struct {
	mu      sync.Mutex
	actions map[string]time.Time
}

func newWatch() *watch {
	return &watch{actions: map[string]time.Time{}}
}

// watchLimit bounds what is remembered; older times are forgotten together.
const watchLimit = 4_096

func (w *watch) proposed(action string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.actions[action]; ok {
		return t
	}
	if len(w.actions) >= watchLimit {
		clear(w.actions)
	}
	w.actions[action] = time.Now()
	return w.actions[action]
}
