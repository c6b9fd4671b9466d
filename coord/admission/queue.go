package admission

import (
	"sort"
	"time"

	"bramleyquay.example/coord/clock"
)

// lane holds the waiting requests of one class in order of deadline. Most
// requests of a service have the same timeout, so that insertion is at the end
// and removal at the front.
type lane struct {
	requests []Request
	head     int
}

func (l *lane) waiting() []Request { return l.requests[l.head:] }

// before orders requests without a deadline last.
func before(a, b *Request) bool {
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return !a.Deadline.IsZero() && b.Deadline.IsZero()
	}
	return a.Deadline.Mono < b.Deadline.Mono
}

// ahead returns the number of requests that r would wait behind.
func (l *lane) ahead(r *Request) int {
	w := l.waiting()
	if len(w) == 0 || !before(r, &w[len(w)-1]) {
		return len(w)
	}
	return sort.Search(len(w), func(i int) bool { return before(r, &w[i]) })
}

func (l *lane) insert(r Request) {
	if l.head > 0 && len(l.requests) == cap(l.requests) {
		n := copy(l.requests, l.requests[l.head:])
		l.requests, l.head = l.requests[:n], 0
	}
	at := l.head + l.ahead(&r)
	l.requests = append(l.requests, Request{})
	copy(l.requests[at+1:], l.requests[at:])
	l.requests[at] = r
}

func (l *lane) popFirst() (Request, bool) {
	if l.head == len(l.requests) {
		return Request{}, false
	}
	r := l.requests[l.head]
	l.head++
	if l.head == len(l.requests) {
		l.requests, l.head = l.requests[:0], 0
	}
	return r, true
}

func (l *lane) popLast() (Request, bool) {
	if l.head == len(l.requests) {
		return Request{}, false
	}
	r := l.requests[len(l.requests)-1]
	l.requests = l.requests[:len(l.requests)-1]
	return r, true
}

func (l *lane) remove(id uint64) bool {
	for i := l.head; i < len(l.requests); i++ {
		if l.requests[i].ID == id {
			l.requests = append(l.requests[:i], l.requests[i+1:]...)
			return true
		}
	}
	return false
}

// queue holds the waiting requests. Payments leave it before browse requests;
// within a class the earliest deadline leaves first.
type queue struct {
	lanes [classes]lane
}

func (q *queue) len() int {
	return len(q.lanes[Browse].waiting()) + len(q.lanes[Payment].waiting())
}

func (q *queue) ahead(r *Request) int {
	n := q.lanes[r.Class].ahead(r)
	if r.Class == Browse {
		n += len(q.lanes[Payment].waiting())
	}
	return n
}

func (q *queue) insert(r Request) { q.lanes[r.Class].insert(r) }

func (q *queue) pop() (Request, bool) {
	if r, ok := q.lanes[Payment].popFirst(); ok {
		return r, true
	}
	return q.lanes[Browse].popFirst()
}

func (q *queue) remove(id uint64) bool {
	return q.lanes[Payment].remove(id) || q.lanes[Browse].remove(id)
}

// nearest returns the time to the nearest deadline.
func (q *queue) nearest(now clock.Reading) time.Duration {
	nearest := noDeadline
	for c := range q.lanes {
		if w := q.lanes[c].waiting(); len(w) > 0 {
			nearest = min(nearest, w[0].remaining(now))
		}
	}
	return nearest
}
