package fleet

// maxNoticeAge is the longest time, in milliseconds, for which a notice may be on its way
// or wait at a frozen process.
const maxNoticeAge = 30_000

// maxDepartures bounds the notices that are retained. A process has one target at a time,
// so more are only of earlier ones.
const maxDepartures = 8

// Departures retains which targets of a process have announced that they stop. Such a
// notice may come before the first announcement that the process gets of the target, and
// an announcement that was sent before it may arrive after it. Departures is not safe for
// concurrent use.
type Departures struct{ notices []departure }

// departure is the notice of all incarnations of a target up to last.
type departure struct {
	target string
	last   int64
}

// Notice says that a target stops. Times are in Unix milliseconds.
type Notice struct {
	Target string
	// Incarnation is the start of the target, or zero if the notice does not say it.
	Incarnation int64
	// Arrived is the time at which the process has read the notice.
	Arrived int64
	// Abandoned says that the sender no longer waits for the answer: the notice may be
	// old, and of an earlier incarnation if it does not name one.
	Abandoned bool
}

// Record retains a notice. One that names no incarnation counts for those that had started
// when it was sent.
func (d *Departures) Record(n Notice) {
	last := n.Arrived
	switch {
	case n.Incarnation != 0:
		last = n.Incarnation
	case n.Abandoned:
		last -= maxNoticeAge
	}
	d.notices = append(d.notices, departure{target: n.Target, last: last})
	if len(d.notices) > maxDepartures {
		d.notices = d.notices[1:]
	}
}

// Includes reports whether an incarnation of a target has announced that it stops.
func (d *Departures) Includes(target string, incarnation int64) bool {
	for _, n := range d.notices {
		if n.target == target && incarnation <= n.last {
			return true
		}
	}
	return false
}
