package dispatch

import (
	"time"

	"bramleyquay.example/coord/clock"
)

const (
	// DefaultBodyBytes is the default of Config.BodyBytes. A target does not announce its
	// memory; one that runs out of it ends with all of its requests.
	DefaultBodyBytes = 8 << 20
	// SmallBodyBytes is the longest body that does not count in Config.BodyBytes: the
	// slots bound how many of them a target has at once.
	SmallBodyBytes = 8 << 10
	// UnknownBodyBytes is the value of Request.BodyBytes for a body whose length is not
	// known before its end. It takes the whole bound.
	UnknownBodyBytes = -1
)

// bodyShare returns the bytes of Config.BodyBytes that a request takes from its start
// until its end: zero for a small body or without a bound, and at most the bound, so that
// a longer body starts alone.
func (q *Queue) bodyShare(r *Request) int64 {
	switch {
	case q.cfg.BodyBytes <= 0 || r.BodyBytes >= 0 && r.BodyBytes <= SmallBodyBytes:
		return 0
	case r.BodyBytes < 0:
		return q.cfg.BodyBytes
	}
	return min(r.BodyBytes, q.cfg.BodyBytes)
}

// bodyFits reports whether the body of a request may go to the target now.
func (q *Queue) bodyFits(r *Request) bool {
	share := q.bodyShare(r)
	return share == 0 || q.bodyBytes+share <= q.cfg.BodyBytes
}

// nextFitting returns the index in waiting of the request to start next, or -1. While the
// first request in order waits for room for its body, only requests without a body that
// counts pass it: bodies start in order, and a long one is not overtaken by shorter ones
// until it fits.
func (q *Queue) nextFitting(now clock.Reading) int {
	first := q.nextInOrder(now)
	if first < 0 || q.bodyFits(&q.waiting[first]) {
		return first
	}
	return q.next(now, 0, func(r *Request) bool { return q.bodyShare(r) == 0 })
}

// bodyDelay estimates the time until the body of r fits, if the bodies of the requests in
// ahead go first. The bodies at the target are expected to end evenly over their mean
// service time.
func (q *Queue) bodyDelay(r *Request, ahead int64) time.Duration {
	share := q.bodyShare(r)
	excess := q.bodyBytes + ahead + share - q.cfg.BodyBytes
	if share == 0 || excess <= 0 || q.bodyBytes == 0 {
		return 0
	}
	var total time.Duration
	n := 0
	for _, x := range q.running {
		if x.body > 0 {
			total += q.serviceTime(x.group)
			n++
		}
	}
	return time.Duration(float64(total) / float64(n) * float64(excess) / float64(q.bodyBytes))
}

// BodyBytes returns the bytes of the bodies that are at the target.
func (q *Queue) BodyBytes() int64 { return q.bodyBytes }
