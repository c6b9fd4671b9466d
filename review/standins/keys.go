package main

import (
	"sync"
	"time"
)

// keyStep is the distance of the keys that are watched.
const keyStep = 64

// keyWatch measures for how long two backends that are up hold the same key.
type keyWatch struct {
	rec  *record
	done chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	backends []*backend
	since    [keyCount / keyStep]time.Time
	pair     [keyCount / keyStep][2]*backend
	most     time.Duration
	reported map[[2]*backend]bool
}

func watchKeys(rec *record, backends []*backend) *keyWatch {
	w := &keyWatch{rec: rec, done: make(chan struct{}), backends: append([]*backend{}, backends...), reported: map[[2]*backend]bool{}}
	w.wg.Go(func() {
		for {
			select {
			case <-time.After(20 * time.Millisecond):
				w.look()
			case <-w.done:
				return
			}
		}
	})
	return w
}

func (w *keyWatch) add(b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, b)
}

func (w *keyWatch) stop() { close(w.done); w.wg.Wait() }

func (w *keyWatch) longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.event("OWNER: two backends that are up held the same key for %s at the most", w.most.Round(time.Millisecond))
	return w.most
}

func (w *keyWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var holders [keyCount / keyStep][2]*backend
	var fences [keyCount / keyStep][2]uint64
	for _, b := range w.backends {
		if !b.up.Load() {
			continue
		}
		b.mu.Lock()
		for i := range holders {
			h := b.held[i*keyStep]
			if h.fence == 0 || !now.Before(h.until) {
				continue
			}
			if holders[i][0] == nil {
				holders[i][0], fences[i][0] = b, h.fence
			} else {
				holders[i][1], fences[i][1] = b, h.fence
			}
		}
		b.mu.Unlock()
	}
	for i := range holders {
		if holders[i][1] == nil {
			w.pair[i] = [2]*backend{}
			continue
		}
		if w.pair[i] != holders[i] {
			w.pair[i], w.since[i] = holders[i], now
		}
		d := now.Sub(w.since[i])
		w.most = max(w.most, d)
		if d > heldByTwo && !w.reported[holders[i]] {
			w.reported[holders[i]] = true
			w.rec.event("key %d is held by %s (fence %d) and by %s (fence %d) for %s", i*keyStep, holders[i][0].life, fences[i][0], holders[i][1].life, fences[i][1], d.Round(time.Millisecond))
		}
	}
}
