package fleet

import (
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// RecordDeparture records that a target has announced that it stops, so that the notice
// can be acknowledged: it holds after a restart of any processes.
type RecordDeparture struct {
	// Process is the peer address of the target's sidecar process.
	Process   string    `json:"process" cbor:"1,keyasint"`
	Departure Departure `json:"departure" cbor:"2,keyasint"`
}

// ForgetDepartures removes the departures of processes that were recorded up to a log
// index.
type ForgetDepartures struct {
	Processes []string `cbor:"1,keyasint"`
	UpTo      uint64   `cbor:"2,keyasint"`
}

// departureRecord is a departure and the log index at which it was last recorded.
type departureRecord struct {
	Departure
	Index uint64 `cbor:"3,keyasint"`
}

// departureRegistry is the part of the state with the departures, by process. Those of a
// process are in the order in which they were recorded.
type departureRegistry map[string][]departureRecord

// maxRegisteredDepartures bounds the departures of all processes together. Beyond it the
// earliest one is dropped.
const maxRegisteredDepartures = 16_384

// recordDeparture records a departure. It replaces an earlier one of the same target.
func (st *State) recordDeparture(index uint64, c *RecordDeparture) Result {
	list := slices.Clone(st.stored.Departures[c.Process])
	next := departureRecord{Departure: c.Departure, Index: index}
	if i := slices.IndexFunc(list, func(r departureRecord) bool { return r.Target == c.Departure.Target }); i >= 0 {
		next.Last = max(next.Last, list[i].Last)
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, next)
	if len(list) > maxDepartures {
		list = list[1:]
	}
	if st.stored.Departures == nil {
		st.stored.Departures = departureRegistry{}
	}
	st.stored.Departures[c.Process] = list
	st.stored.Departures.dropEarliest()
	return st.result(Accepted)
}

// dropEarliest drops the departure that was recorded first if there are too many.
func (r departureRegistry) dropEarliest() {
	if len(r)*maxDepartures <= maxRegisteredDepartures {
		return
	}
	count, earliest := 0, ""
	for process, list := range r {
		count += len(list)
		if earliest == "" || list[0].Index < r[earliest][0].Index {
			earliest = process
		}
	}
	if count <= maxRegisteredDepartures {
		return
	}
	if r[earliest] = r[earliest][1:]; len(r[earliest]) == 0 {
		delete(r, earliest)
	}
}

func (st *State) forgetDepartures(c *ForgetDepartures) Result {
	registry := st.stored.Departures
	for _, process := range c.Processes {
		list := slices.DeleteFunc(slices.Clone(registry[process]), func(r departureRecord) bool { return r.Index <= c.UpTo })
		if len(list) == 0 {
			delete(registry, process)
		} else {
			registry[process] = list
		}
	}
	return st.result(Accepted)
}

// DeparturesOf returns the recorded departures of a process's targets.
func (st *State) DeparturesOf(process string) []Departure {
	var out []Departure
	for _, r := range st.stored.Departures[process] {
		out = append(out, r.Departure)
	}
	return out
}

// departed reports whether a holder's target has announced that it stops.
func (st *State) departed(h ranges.Holder) bool {
	return slices.ContainsFunc(st.stored.Departures[h.Process], func(r departureRecord) bool { return r.includes(h.Target, h.Incarnation) })
}

const (
	// departureRetention is the time without a renewal of its process after which a
	// departure is dropped. No message of its target can arrive any more: the machine
	// that would have received it is gone.
	departureRetention = time.Hour
	// departureCheckInterval is the time between two looks for such departures.
	departureCheckInterval = 10 * time.Second
)

// departureLeader finds, in one term, the departures that can be dropped.
type departureLeader struct {
	lastCheck clock.Reading
	// absentSince is the time since which a process with departures does not renew.
	absentSince map[string]clock.Reading
}

// commands returns the command that drops departures, if any can be dropped.
func (d *departureLeader) commands(now clock.Reading, st *State, renews func(process string) bool) []Command {
	if now.MonoSince(d.lastCheck) < departureCheckInterval {
		return nil
	}
	d.lastCheck = now
	absent := map[string]clock.Reading{}
	var gone []string
	for process := range st.stored.Departures {
		if renews(process) {
			continue
		}
		since, ok := d.absentSince[process]
		if !ok {
			since = now
		}
		absent[process] = since
		if now.MonoSince(since) >= departureRetention {
			gone = append(gone, process)
		}
	}
	d.absentSince = absent
	if len(gone) == 0 {
		return nil
	}
	slices.Sort(gone)
	return []Command{{ForgetDepartures: &ForgetDepartures{Processes: gone, UpTo: st.stored.Index}}}
}
