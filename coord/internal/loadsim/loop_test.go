package loadsim

import (
	"container/heap"
	"time"

	"bramleyquay.example/coord/clock"
)

// eventLoop runs events in order of virtual time, and in order of creation at equal times.
type eventLoop struct {
	now    time.Duration
	serial uint64
	events events
}

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (l *eventLoop) reading() clock.Reading { return clock.At(l.now) }

func (l *eventLoop) after(d time.Duration, run func()) {
	l.serial++
	heap.Push(&l.events, event{l.now + max(d, 0), l.serial, run})
}

func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
