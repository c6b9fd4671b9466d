package admission

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/outcome"
)

// Bounds of the retry hint. The lower one keeps callers from repeating within
// the same burst, the upper one from staying away after a short overload.
const (
	minRetryAfter     = time.Millisecond
	maxRetryAfter     = 10 * time.Second
	defaultRetryAfter = 100 * time.Millisecond
)

// expected is the service time to plan with: the recent median, or the present
// silence of the target if that is longer. The silence keeps a target that
// stops answering from being judged by its answers of the past.
func (l *Limiter) expected(now clock.Reading) time.Duration {
	return max(l.service.median(), l.silence(now))
}

// pace is the expected time between two free slots.
func (l *Limiter) pace(now clock.Reading) time.Duration {
	return l.expected(now) / time.Duration(l.ramp.limit())
}

// wait is the expected time in the queue behind the given number of requests.
func (l *Limiter) wait(now clock.Reading, ahead int) time.Duration {
	excess := max(l.running.len()-l.ramp.limit(), 0)
	return time.Duration(ahead+1+excess) * l.pace(now)
}

// room is the number of requests that may wait now.
func (l *Limiter) room(now clock.Reading) int {
	if !l.config.KeepQueueWhenSlow && l.slow(l.expected(now)) {
		return min(l.config.QueueLength, l.ramp.limit())
	}
	return l.config.QueueLength
}

func (l *Limiter) enqueue(now clock.Reading, r Request, remaining time.Duration) {
	needed := l.wait(now, l.queue.ahead(&r)) + l.service.median()
	if needed > remaining {
		l.refuse(&r, outcome.ReasonDeadline, needed-remaining, "the deadline cannot be met")
		return
	}
	if l.queue.len() >= l.room(now) {
		displaced, ok := Request{}, false
		if r.Class == Payment {
			displaced, ok = l.queue.lanes[Browse].popLast()
		}
		if !ok {
			l.refuse(&r, outcome.ReasonQueueFull, l.wait(now, 0), "the queue is full")
			return
		}
		l.refuse(&displaced, outcome.ReasonShed, l.wait(now, 0), "displaced by a payment")
	}
	l.queue.insert(r)
}

// start runs a request, unless even the fastest recent answer would come too
// late. If nothing runs, it always starts: without a new sample, a target whose
// recent answers were all slow would be refused for ever.
func (l *Limiter) start(now clock.Reading, r *Request) {
	remaining, fastest := r.remaining(now), l.service.fastest()
	if remaining <= 0 || (remaining < fastest && l.running.len() > 0) {
		l.refuse(r, outcome.ReasonDeadline, fastest, "the deadline cannot be met")
		return
	}
	l.running.add(r.ID, now)
	l.actions = append(l.actions, Action{ID: r.ID, Kind: Start})
}

// fill starts waiting requests while the limit allows.
func (l *Limiter) fill(now clock.Reading) {
	for l.running.len() < l.ramp.limit() {
		r, ok := l.queue.pop()
		if !ok {
			return
		}
		l.start(now, &r)
	}
}

// sweep refuses the waiting requests that cannot meet their deadline.
func (l *Limiter) sweep(now clock.Reading) {
	position := 0
	for _, class := range [...]Class{Payment, Browse} {
		lane := &l.queue.lanes[class]
		kept := lane.requests[:lane.head]
		for _, r := range lane.waiting() {
			needed, remaining := l.wait(now, position)+l.service.fastest(), r.remaining(now)
			if remaining <= 0 || needed > remaining {
				l.refuse(&r, outcome.ReasonDeadline, needed-remaining, "the deadline cannot be met")
				continue
			}
			kept = append(kept, r)
			position++
		}
		lane.requests = kept
		if len(lane.waiting()) == 0 {
			lane.requests, lane.head = lane.requests[:0], 0
		}
	}
}

func (l *Limiter) refuse(r *Request, reason outcome.Reason, after time.Duration, detail string) {
	refusal := outcome.NewNotRun(reason, detail)
	if after <= 0 && l.service.n == 0 {
		after = defaultRetryAfter
	}
	refusal.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	l.actions = append(l.actions, Action{ID: r.ID, Kind: Refuse, Refusal: refusal})
}
