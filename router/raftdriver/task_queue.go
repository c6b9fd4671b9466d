package raftdriver

import (
	"context"
	"errors"
	"sync"
)

// ErrStopped means that the goroutine that runs the tasks has ended.
var ErrStopped = errors.New("the replica has stopped")

// maxQueuedTasks is the largest number of functions in a queue.
const maxQueuedTasks = 1024

// TaskQueue passes functions to the goroutine that owns a replica's state. It
// is safe for concurrent use.
type TaskQueue struct {
	c       chan func()
	stopped chan struct{}
	once    sync.Once
}

// NewTaskQueue returns an empty queue.
func NewTaskQueue() *TaskQueue {
	return &TaskQueue{c: make(chan func(), maxQueuedTasks), stopped: make(chan struct{})}
}

// C returns the channel from which the owner's goroutine receives the functions.
func (q *TaskQueue) C() <-chan func() { return q.c }

// Stopped returns a channel that is closed by Stop.
func (q *TaskQueue) Stopped() <-chan struct{} { return q.stopped }

// Stop ends the waits of all callers of Do, which return ErrStopped.
func (q *TaskQueue) Stop() { q.once.Do(func() { close(q.stopped) }) }

// Post queues f and does not block. It returns false if the queue is full.
// After Stop f may never run although Post returned true.
func (q *TaskQueue) Post(f func()) bool {
	select {
	case q.c <- f:
		return true
	default:
		return false
	}
}

// Do runs f on the owner's goroutine and blocks until it has run, also while
// the queue is full. It must not be called on that goroutine. It returns an
// error if ctx ends or the queue is stopped before; f may still run later.
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
