package fleet

// maxNoticeAge is the longest time, in milliseconds, for which a notice may be on its way
// or wait at a frozen process.
const maxNoticeAge = 30_000

// maxDepartures bounds the departures of one process that are retained. A process has one
// target at a time, so more are only of earlier ones.
const maxDepartures = 8

// Departure says that all incarnations of a target up to Last have announced that they
// stop. Last is a start time in Unix milliseconds.
type Departure struct {
	Target string `json:"target" cbor:"1,keyasint"`
	Last   int64  `json:"last" cbor:"2,keyasint"`
}

func (d Departure) includes(target string, incarnation int64) bool {
	return d.Target == target && incarnation <= d.Last
}

// Departures retains which targets of a process have announced that they stop. Such a
// notice may come before the first announcement that the process gets of the target, and
// an announcement that was sent before it may arrive after it. Departures is not safe for
// concurrent use.
type Departures struct{ list []Departure }

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

// departure returns the incarnations that a notice is about. One that names no incarnation
// counts for those that had started when it was sent.
func (n Notice) departure() Departure {
	last := n.Arrived
	switch {
	case n.Incarnation != 0:
		last = n.Incarnation
	case n.Abandoned:
		last -= maxNoticeAge
	}
	return Departure{Target: n.Target, Last: last}
}

// Record retains a notice and returns the departure that it says.
func (d *Departures) Record(n Notice) Departure {
	departure := n.departure()
	d.Add(departure)
	return departure
}

// Add retains a departure.
func (d *Departures) Add(departure Departure) {
	if d.Includes(departure.Target, departure.Last) {
		return
	}
	d.list = append(d.list, departure)
	if len(d.list) > maxDepartures {
		d.list = d.list[1:]
	}
}

// Includes reports whether an incarnation of a target has announced that it stops.
func (d *Departures) Includes(target string, incarnation int64) bool {
	for _, departure := range d.list {
		if departure.includes(target, incarnation) {
			return true
		}
	}
	return false
}
