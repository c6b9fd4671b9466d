package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// store holds the records of one unit.
type store struct {
	records map[string]*Record
	// order is the expiry queue: the records by time of creation, oldest first,
	// from index head on.
	order    []expiry
	head     int
	bytes    int64
	lifetime time.Duration
	// lostAtMs is when all earlier records of the unit were lost, or zero.
	lostAtMs int64
}

type expiry struct {
	key       string
	createdMs int64
}

func newStore(lifetime time.Duration) *store {
	return &store{records: map[string]*Record{}, lifetime: lifetime}
}

// size returns the memory of all records in bytes; it is zero for nil.
func (s *store) size() int64 {
	if s == nil {
		return 0
	}
	return s.bytes
}

// put stores r unless the store has a record of the key that is as new or newer.
func (s *store) put(r *Record) {
	old := s.records[r.Key]
	if old != nil && !r.newer(old) {
		return
	}
	if old != nil {
		s.bytes -= old.size()
	}
	s.bytes += r.size()
	s.records[r.Key] = r
	if old == nil || old.CreatedAtMs != r.CreatedAtMs {
		s.order = append(s.order, expiry{r.Key, r.CreatedAtMs})
	}
}

// sortByAge orders the expiry queue after records were added in another order.
func (s *store) sortByAge() {
	s.order = s.order[s.head:]
	s.head = 0
	slices.SortStableFunc(s.order, func(a, b expiry) int { return cmp.Compare(a.createdMs, b.createdMs) })
}

// compactThreshold is the number of removed entries of the expiry queue above which
// their memory is freed, if they are more than half of the queue.
const compactThreshold = 64

// expire removes up to limit records that are older than the lifetime plus
// margin. It stops at a record for which inUse reports true; inUse may be nil.
func (s *store) expire(nowMs int64, margin time.Duration, limit int, inUse func(string) bool) {
	oldest := nowMs - (s.lifetime + margin).Milliseconds()
	for ; limit > 0 && s.head < len(s.order) && s.order[s.head].createdMs < oldest; limit-- {
		e := s.order[s.head]
		r := s.records[e.key]
		if r != nil && r.CreatedAtMs == e.createdMs {
			if inUse != nil && inUse(e.key) {
				return
			}
			s.bytes -= r.size()
			delete(s.records, e.key)
		}
		s.order[s.head] = expiry{}
		s.head++
	}
	if s.head > compactThreshold && s.head > len(s.order)/2 {
		s.order = append([]expiry(nil), s.order[s.head:]...)
		s.head = 0
	}
}

// keys returns the keys in ascending order.
func (s *store) keys() []string { return slices.Sorted(maps.Keys(s.records)) }

// page returns the records of the first keys up to maxBytes, at least one if any
// key still has a record, and the number of keys that they cover.
func (s *store) page(keys []string, maxBytes int64) (records []Record, covered int) {
	var bytes int64
	for _, key := range keys {
		if r := s.records[key]; r != nil {
			if bytes += r.size(); bytes > maxBytes && len(records) > 0 {
				break
			}
			records = append(records, *r)
		}
		covered++
	}
	return records, covered
}
