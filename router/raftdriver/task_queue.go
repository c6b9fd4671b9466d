package raftdriver

import (
	"context"
	"errors"
	"sync"
)

// ErrStopped means that the goroutine of the events has ended.
var ErrStopped = errors.New("the replica has stopped")

// maxEvents bounds the functions that wait for a replica's goroutine.
const maxEvents = 1024

// TaskQueue runs functions on the goroutine that owns a replica's state.
type TaskQueue struct {
	c       chan func()
	stopped chan struct{}
	once    sync.Once
}

// NewEvents returns an empty queue.
func NewEvents() *TaskQueue {
	return &TaskQueue{c: make(chan func(), maxEvents), stopped: make(chan struct{})}
}

// C delivers the functions to the goroutine that runs them.
func (q *TaskQueue) C() <-chan func() { return q.c }

// Stopped is closed by Stop.
func (q *TaskQueue) Stopped() <-chan struct{} { return q.stopped }

// Stop ends the waits of all callers.
func (q *TaskQueue) Stop() { q.once.Do(func() { close(q.stopped) }) }

// Post queues f, or returns false if the queue is full.
func (q *TaskQueue) Post(f func()) bool {
	select {
	case q.c <- f:
		return true
	default:
		return false
	}
}

// Do runs f on the owner's goroutine and waits for it. After an error f may
// run later.
func (q *TaskQueue) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case q.c <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-q.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-q.stopped:
		return ErrStopped
	}
}
