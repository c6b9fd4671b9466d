package fleet

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

// Record retains the notice of a target. incarnation is the start of the target in Unix
// milliseconds, or zero if the notice does not say it; then the notice counts for those
// that started by nowMs.
func (d *Departures) Record(target string, incarnation, nowMs int64) {
	last := incarnation
	if last == 0 {
		last = nowMs
	}
	d.notices = append(d.notices, departure{target: target, last: last})
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
