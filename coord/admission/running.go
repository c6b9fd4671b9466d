package admission

import (
	"slices"

	"bramleyquay.example/coord/clock"
)

// running holds the requests at the target in order of their start, oldest
// first. Requests are found by a linear search over the ids: a target has tens
// of slots, and a search over 100 ids takes less time than a map lookup with its
// hashing.
type running struct {
	ids    []uint64
	starts []clock.Reading
}

func (r *running) len() int { return len(r.ids) }

func (r *running) add(id uint64, now clock.Reading) {
	r.ids = append(r.ids, id)
	r.starts = append(r.starts, now)
}

// remove removes a request and returns when it started, or false if it is not
// running.
func (r *running) remove(id uint64) (clock.Reading, bool) {
	i := slices.Index(r.ids, id)
	if i < 0 {
		return clock.Reading{}, false
	}
	start := r.starts[i]
	r.ids = slices.Delete(r.ids, i, i+1)
	r.starts = slices.Delete(r.starts, i, i+1)
	return start, true
}
