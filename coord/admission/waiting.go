package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// Bounds of the retry hint. The lower one keeps callers from retrying within
// the same burst, the upper one from waiting long after a short overload. The
// default is used if no service time is known and no wait can be estimated.
const (
	minRetryAfter     = time.Millisecond
	maxRetryAfter     = 10 * time.Second
	defaultRetryAfter = 100 * time.Millisecond
)

// expectedServiceTime returns the recent median, or the time without an answer
// if that is longer: the median does not change when a target stops answering.
func (l *Limiter) expectedServiceTime(now clock.Reading) time.Duration {
	return max(l.serviceTime.median(), l.timeWithoutAnswer(now))
}

// slotInterval is the expected time between the ends of two requests while the
// limit is fully used.
func (l *Limiter) slotInterval(now clock.Reading) time.Duration {
	return l.expectedServiceTime(now) / time.Duration(l.ramp.limit())
}

// expectedWait is the expected time in the queue behind the given number of
// requests.
func (l *Limiter) expectedWait(now clock.Reading, ahead int) time.Duration {
	// Requests that run above a lowered limit have to end first.
	excess := max(l.running.len()-l.ramp.limit(), 0)
	return time.Duration(ahead+1+excess) * l.slotInterval(now)
}

// queueLimit is the number of requests that may wait now.
func (l *Limiter) queueLimit(now clock.Reading) int {
	if !l.config.KeepQueueWhenSlow && l.isSlow(l.expectedServiceTime(now)) {
		return min(l.config.QueueLength, l.ramp.limit())
	}
	return l.config.QueueLength
}

// enqueue adds r to the queue, or refuses it if it cannot meet its deadline or
// the queue is full. A payment displaces the browse request with the latest
// deadline from a full queue.
func (l *Limiter) enqueue(now clock.Reading, r Request, remaining time.Duration) {
	needed := l.expectedWait(now, l.queue.ahead(&r)) + l.serviceTime.median()
	if needed > remaining {
		// The hint is the time by which the deadline would be missed.
		l.refuse(&r, outcome.ReasonDeadline, needed-remaining, "the deadline cannot be met")
		return
	}
	if l.queue.len() >= l.queueLimit(now) {
		displaced, ok := Request{}, false
		if r.Class == Payment {
			displaced, ok = l.queue.byClass[Browse].popLast()
		}
		if !ok {
			l.refuse(&r, outcome.ReasonQueueFull, l.expectedWait(now, 0), "the queue is full")
			return
		}
		l.refuse(&displaced, outcome.ReasonShed, l.expectedWait(now, 0), "displaced by a payment")
	}
	l.queue.insert(r)
}

// startOrRefuse starts a request, unless its deadline is earlier than even the
// fastest of the recent answers would be. If nothing runs, only a passed deadline
// counts: without a new sample, a target whose recent answers were all slow would
// never get a request again.
func (l *Limiter) startOrRefuse(now clock.Reading, r *Request) {
	remaining, fastest := r.remaining(now), l.serviceTime.fastest()
	if remaining <= 0 || (remaining < fastest && l.running.len() > 0) {
		l.refuse(r, outcome.ReasonDeadline, fastest, "the deadline cannot be met")
		return
	}
	l.running.add(r.ID, now)
	l.actions = append(l.actions, Action{ID: r.ID, Kind: Start})
}

// startWaiting starts waiting requests while the limit allows.
func (l *Limiter) startWaiting(now clock.Reading) {
	for l.running.len() < l.ramp.limit() {
		r, ok := l.queue.pop()
		if !ok {
			return
		}
		l.startOrRefuse(now, &r)
	}
}

// refuseUnservable refuses the waiting requests that cannot meet their
// deadline, even with the fastest recent service time.
func (l *Limiter) refuseUnservable(now clock.Reading) {
	position := 0
	for _, class := range [...]Class{Payment, Browse} {
		q := &l.queue.byClass[class]
		servable := q.requests[:q.head]
		for _, r := range q.waiting() {
			needed, remaining := l.expectedWait(now, position)+l.serviceTime.fastest(), r.remaining(now)
			if remaining <= 0 || needed > remaining {
				l.refuse(&r, outcome.ReasonDeadline, needed-remaining, "the deadline cannot be met")
				continue
			}
			servable = append(servable, r)
			position++
		}
		q.requests = servable
		if len(q.waiting()) == 0 {
			q.requests, q.head = q.requests[:0], 0
		}
	}
}

// refuse adds a not-run refusal with after as the retry hint.
func (l *Limiter) refuse(r *Request, reason outcome.Reason, after time.Duration, detail string) {
	refusal := outcome.NewNotRun(reason, detail)
	if after <= 0 && l.serviceTime.count == 0 {
		after = defaultRetryAfter
	}
	refusal.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	l.actions = append(l.actions, Action{ID: r.ID, Kind: Refuse, Refusal: refusal})
}
