package leader

import (
	"sync"
	"time"
)

// watch remembers when this process first saw a revision or an action, for
// display only; the replicated state holds no times.
type watch struct {
	mu        sync.Mutex
	revisions map[uint64]time.Time
	spreads   map[uint64]time.Duration
	actions   map[string]time.Time
}

func newWatch() *watch {
	return &watch{revisions: map[uint64]time.Time{}, spreads: map[uint64]time.Duration{}, actions: map[string]time.Time{}}
}

// watchLimit bounds what is remembered; older times are forgotten together.
const watchLimit = 4_096

func (w *watch) accepted(revision uint64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return first(w.revisions, revision)
}

func (w *watch) proposed(action string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return first(w.actions, action)
}

// spread returns the time from the first sight of a revision until it was
// everywhere, or the time passed so far.
func (w *watch) spread(revision uint64, everywhere bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d, ok := w.spreads[revision]; ok {
		return d
	}
	d := time.Since(first(w.revisions, revision))
	if everywhere {
		if len(w.spreads) >= watchLimit {
			clear(w.spreads)
		}
		w.spreads[revision] = d
	}
	return d
}

func first[K comparable](seen map[K]time.Time, key K) time.Time {
	if t, ok := seen[key]; ok {
		return t
	}
	if len(seen) >= watchLimit {
		clear(seen)
	}
	seen[key] = time.Now()
	return seen[key]
}
