package gate

import (
	"sync"
	"time"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/hotkey"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/router/timesource"
)

const (
	// rateWindow is the time over which request rates are counted.
	rateWindow = 2 * time.Second
	// maxReportedUnits bounds the unit rates reported with a renewal. Of more units
	// an arbitrary selection is reported, which differs between windows.
	maxReportedUnits = 64
	// maxReportedHotKeys bounds the keys of each key space that are reported with a
	// renewal. It can be small: the about 93 hot keys of a cluster (see
	// hotkey.DefaultConfig) are distributed over its members.
	maxReportedHotKeys = 8
)

// rates counts requests by unit and finds the most frequent keys. Its methods may be
// called concurrently.
type rates struct {
	mu          sync.Mutex
	windowStart time.Time
	total       int
	counts      map[shard.Unit]int
	sketches    map[string]*hotkey.Sketch
	// rate and byUnit are those of the last complete window, hotKeys those at its
	// end. All rates are in requests per second.
	rate    float64
	byUnit  []control.UnitLoad
	hotKeys []control.HotKey
	// reported says that the rates of the last window were sent with a report.
	reported bool
}

func newRates() *rates {
	return &rates{windowStart: time.Now(), counts: map[shard.Unit]int{}, sketches: map[string]*hotkey.Sketch{}}
}

// count records one request.
func (r *rates) count(unit shard.Unit, hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if unit.Keyspace == "" {
		return
	}
	r.counts[unit]++
	s := r.sketches[unit.Keyspace]
	if s == nil {
		s = hotkey.NewSketch(hotkey.SketchConfig{})
		r.sketches[unit.Keyspace] = s
	}
	s.Observe(hash)
}

// tick computes the rates and starts a new window if rateWindow has passed.
func (r *rates) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := time.Since(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	seconds := elapsed.Seconds()
	r.rate = float64(r.total) / seconds
	r.byUnit = r.byUnit[:0:0]
	for unit, n := range r.counts {
		if len(r.byUnit) == maxReportedUnits {
			break
		}
		r.byUnit = append(r.byUnit, control.UnitLoad{Unit: unit, Rate: float64(n) / seconds})
	}
	r.hotKeys, r.reported = r.top(), false
	r.windowStart, r.total = time.Now(), 0
	clear(r.counts)
}

// top returns the most frequent keys of each key space, with lower bounds of their
// rates. The caller must hold mu.
func (r *rates) top() []control.HotKey {
	var keys []control.HotKey
	for name, s := range r.sketches {
		s.Tick(timesource.Now())
		for _, k := range s.Top(maxReportedHotKeys) {
			keys = append(keys, control.HotKey{Keyspace: name, Hash: k.Hash, Rate: max(k.Rate-k.Error, 0)})
		}
	}
	return keys
}

// report returns the rates of the last complete window. Only its first call in a
// window returns unit loads and hot keys. Control smooths them, so that sending
// them with each of the eight renewals of a window would only cost bytes: 7.0 KB/s
// instead of 2.8 KB/s with 20 busy units.
func (r *rates) report() (float64, []control.UnitLoad, []control.HotKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported {
		return r.rate, nil, nil
	}
	r.reported = true
	return r.rate, r.byUnit, r.hotKeys
}

// snapshot returns the rates of the last complete window.
func (r *rates) snapshot() (float64, []control.UnitLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate, r.byUnit
}
