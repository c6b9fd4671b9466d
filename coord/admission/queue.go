package admission

import (
	"sort"
	"time"

	"bramleyquay.example/coord/clock"
)

// classQueue holds the waiting requests of one priority class in order of
// deadline. Most requests of a service have the same timeout, so that insertion
// is at the end and removal at the front.
type classQueue struct {
	requests []Request
	// head is the index of the first waiting request; those before it were removed.
	head int
}

func (q *classQueue) waiting() []Request { return q.requests[q.head:] }

// earlierDeadline reports whether a's deadline is before b's. Requests without
// a deadline come last.
func earlierDeadline(a, b *Request) bool {
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return !a.Deadline.IsZero() && b.Deadline.IsZero()
	}
	return a.Deadline.Mono < b.Deadline.Mono
}

// ahead returns the number of requests of this class that r would wait behind.
func (q *classQueue) ahead(r *Request) int {
	w := q.waiting()
	if len(w) == 0 || !earlierDeadline(r, &w[len(w)-1]) {
		return len(w)
	}
	return sort.Search(len(w), func(i int) bool { return earlierDeadline(r, &w[i]) })
}

func (q *classQueue) insert(r Request) {
	if q.head > 0 && len(q.requests) == cap(q.requests) {
		n := copy(q.requests, q.requests[q.head:])
		q.requests, q.head = q.requests[:n], 0
	}
	at := q.head + q.ahead(&r)
	q.requests = append(q.requests, Request{})
	copy(q.requests[at+1:], q.requests[at:])
	q.requests[at] = r
}

func (q *classQueue) popFirst() (Request, bool) {
	if q.head == len(q.requests) {
		return Request{}, false
	}
	r := q.requests[q.head]
	q.head++
	if q.head == len(q.requests) {
		q.requests, q.head = q.requests[:0], 0
	}
	return r, true
}

func (q *classQueue) popLast() (Request, bool) {
	if q.head == len(q.requests) {
		return Request{}, false
	}
	r := q.requests[len(q.requests)-1]
	q.requests = q.requests[:len(q.requests)-1]
	return r, true
}

func (q *classQueue) remove(id uint64) bool {
	for i := q.head; i < len(q.requests); i++ {
		if q.requests[i].ID == id {
			q.requests = append(q.requests[:i], q.requests[i+1:]...)
			return true
		}
	}
	return false
}

// queue holds the waiting requests. Payments are removed before browse requests;
// within a class, the request with the earliest deadline is removed first.
type queue struct {
	byClass [numClasses]classQueue
}

func (q *queue) len() int {
	return len(q.byClass[Browse].waiting()) + len(q.byClass[Payment].waiting())
}

// ahead returns the number of requests that r would wait behind.
func (q *queue) ahead(r *Request) int {
	n := q.byClass[r.Class].ahead(r)
	if r.Class == Browse {
		n += len(q.byClass[Payment].waiting())
	}
	return n
}

func (q *queue) insert(r Request) { q.byClass[r.Class].insert(r) }

func (q *queue) pop() (Request, bool) {
	if r, ok := q.byClass[Payment].popFirst(); ok {
		return r, true
	}
	return q.byClass[Browse].popFirst()
}

func (q *queue) remove(id uint64) bool {
	return q.byClass[Payment].remove(id) || q.byClass[Browse].remove(id)
}

// untilNextDeadline returns the time to the earliest deadline, or noDeadline.
func (q *queue) untilNextDeadline(now clock.Reading) time.Duration {
	nearest := noDeadline
	for c := range q.byClass {
		if w := q.byClass[c].waiting(); len(w) > 0 {
			nearest = min(nearest, w[0].remaining(now))
		}
	}
	return nearest
}
