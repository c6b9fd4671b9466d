package dispatch

import (
	"time"

	"bramleyquay.example/coord/clock"
)

const (
	// maxReservations bounds the reservations for refused callers.
	maxReservations = 512
	// returnShare is the part of the target that is reserved for returning callers under
	// overload. What they get is lost to new requests, which can still meet their
	// objective. Below it they get what the offered load leaves.
	returnShare = 0.05
	// maxReturnTime is the part of a caller's remaining time after which it may return.
	// A return right before the deadline often ends after it.
	maxReturnTime = 0.5
	// earlyReturn and lateReturn are how much earlier and later than agreed a caller may
	// return: the way of the refusal and of the request, and the caller's own delay.
	earlyReturn, lateReturn = 20 * time.Millisecond, 500 * time.Millisecond
)

// reservation is the agreed time at which a refused caller returns.
type reservation struct {
	key      string
	priority int
	at       time.Duration
}

// returns keeps the reservations of one target in the order in which they were made.
type returns struct {
	reservations []reservation
	// next is the time from which room is not reserved yet, by priority.
	next map[int]time.Duration
}

// expire removes the reservations of callers that have not returned.
func (t *returns) expire(now time.Duration) {
	kept := t.reservations[:0]
	for _, r := range t.reservations {
		if now <= r.at+lateReturn {
			kept = append(kept, r)
		}
	}
	t.reservations = kept
}

// find returns the index of the earliest reservation for a key, or -1.
func (t *returns) find(key string) int {
	best := -1
	for i, r := range t.reservations {
		if r.key == key && (best < 0 || r.at < t.reservations[best].at) {
			best = i
		}
	}
	return best
}

// arrive reports whether the caller of a request returns as agreed. Its reservation is
// used up then.
func (t *returns) arrive(now time.Duration, r *Request) bool {
	if r.ReturnKey == "" {
		return false
	}
	t.expire(now)
	i := t.find(r.ReturnKey)
	if i < 0 || now < t.reservations[i].at-earlyReturn {
		return false
	}
	t.remove(i)
	return true
}

func (t *returns) remove(i int) { t.reservations = append(t.reservations[:i], t.reservations[i+1:]...) }

// returnInterval returns the time between two reservations for requests like one with
// the given service time.
func (q *Queue) returnInterval(now clock.Reading, serviceTime time.Duration) time.Duration {
	return time.Duration(float64(q.capacityUsed(serviceTime)) / max(returnShare, 1-q.groupLoad(now)))
}

// reserve returns the time after which the caller of a refused request should return: at
// the earliest after the given time, and after the callers refused before it that are as
// urgent. interval is the time in which the target has room for one of them. A caller that
// returned too early keeps its time. Without a reservation the time says when there would
// be one.
func (t *returns) reserve(now time.Duration, r *Request, after, interval, serviceTime time.Duration) time.Duration {
	if i := t.find(r.ReturnKey); i >= 0 {
		return t.reservations[i].at - now
	}
	at := max(now+after, t.next[r.Priority])
	latest := min(now+time.Duration(maxReturnTime*float64(r.Deadline-now)), r.Deadline-serviceTime)
	if at > latest || len(t.reservations) >= maxReservations {
		return at - now
	}
	t.next[r.Priority] = at + interval
	for p, next := range t.next {
		if p > r.Priority && next > at {
			t.next[p] = next + interval
		}
	}
	t.reservations = append(t.reservations, reservation{key: r.ReturnKey, priority: r.Priority, at: at})
	return at - now
}

// compareReturns puts the requests of callers that return as agreed before new ones of
// the same priority.
func compareReturns(a, b *Request) int {
	switch {
	case a.Priority != b.Priority || a.returning == b.returning:
		return 0
	case a.returning:
		return -1
	}
	return 1
}
