package idempotency

import (
	"cmp"
	"container/heap"
	"time"

	"bramleyquay.example/coord/clock"
)

// timers is a heap of the times at which Owner.Tick has to handle a request: its
// deadline, or ReplyMargin before it.
type timers struct{ items timerHeap }

type timer struct {
	at clock.Reading
	id uint64
}

func (t *timers) add(at clock.Reading, id uint64) { heap.Push(&t.items, timer{at, id}) }

// pop removes the earliest timer if its time is reached, and returns the id of its
// request.
func (t *timers) pop(now clock.Reading) (uint64, bool) {
	if len(t.items) == 0 || !passed(now, t.items[0].at) {
		return 0, false
	}
	return heap.Pop(&t.items).(timer).id, true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].due(), h[j].due()), cmp.Compare(h[i].id, h[j].id)) < 0
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// due returns the monotonic time, by which timers are ordered. The wall clock can
// only make timers fire earlier, and it does so for all timers alike.
func (t timer) due() time.Duration { return t.at.Mono }
