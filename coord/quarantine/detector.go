package quarantine

import (
	"slices"
	"time"

	"bramleyquay.example/coord/ranges"
)

// Crash is a request that a target was running, or had queued, when it ended. Times
// are readings of one clock of the reporting process.
type Crash struct {
	Fingerprint Fingerprint
	Target      ranges.Holder
	// Started is when the request was sent, Ended when its connection broke.
	Started, Ended time.Duration
	// First is set if the target's process knows of no answer to the request.
	First bool
}

// endedWindow is the longest time between the end of a target's connections and that
// of its listener, in either order, so that both count as the same crash.
const endedWindow = time.Second

// Detector finds the requests that the target of one process ran when it ended. A
// connection that breaks is no proof, because only an answer may be lost; the target
// has ended if it also refuses connections. It is not safe for concurrent use.
type Detector struct {
	broken []Crash
	// ended is the last incarnation that refused connections, at the time endedAt.
	ended   ranges.Holder
	endedAt time.Duration
}

// RequestBroken records a request whose connection broke before the answer was
// complete. It returns the crashes that this proves.
func (d *Detector) RequestBroken(now time.Duration, c Crash) []Crash {
	if c.Target == d.ended && now-d.endedAt <= endedWindow {
		return []Crash{c}
	}
	d.discard(now)
	d.broken = append(d.broken, c)
	return nil
}

// TargetEnded records that an incarnation of the target refuses connections. It
// returns the crashes that this proves.
func (d *Detector) TargetEnded(now time.Duration, target ranges.Holder) []Crash {
	d.ended, d.endedAt = target, now
	d.discard(now)
	var crashes []Crash
	for _, c := range d.broken {
		if c.Target == target {
			crashes = append(crashes, c)
		}
	}
	d.broken = nil
	return crashes
}

// discard removes the requests that broke too long ago.
func (d *Detector) discard(now time.Duration) {
	d.broken = slices.DeleteFunc(d.broken, func(c Crash) bool { return now-c.Ended > endedWindow })
}
