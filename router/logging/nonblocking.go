package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines queued for a slow output: a few seconds of
	// the log of a busy process.
	maxQueuedLines = 4096
	// maxQueuedBytes bounds their size: callers choose the paths in them, of up to the
	// limit for their headers.
	maxQueuedBytes = 4 << 20
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// NonBlockingWriter is an io.Writer that queues lines for a slow output and never
// blocks. If the queue is full it drops lines, counts them and reports the number
// in the log, at most once per dropReportInterval and only after a further line or
// Flush.
type NonBlockingWriter struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
	// queued is the size of the lines in the queue, in bytes.
	queued atomic.Int64
}

// NewNonBlockingWriter returns a writer to out and starts its goroutine, which runs
// until the process ends.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	w := &NonBlockingWriter{out: out, lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It never fails.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.drop(size)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop(size)
	}
	return len(line), nil
}

// drop counts a line that was not queued and takes back its size.
func (w *NonBlockingWriter) drop(size int64) {
	w.queued.Add(-size)
	w.dropped.Add(1)
}

// Flush blocks until one batch of the queued lines has been written, but no longer
// than limit. If more than batchBytes are queued, some of the lines may not have
// been written when it returns.
func (w *NonBlockingWriter) Flush(limit time.Duration) {
	done := make(chan struct{})
	timeout := time.After(limit)
	select {
	case w.flush <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

func (w *NonBlockingWriter) run() {
	var reported uint64
	var lastReport time.Time
	var buf []byte
	for {
		select {
		case line := <-w.lines:
			buf = w.appendQueued(w.takeLine(buf[:0], line))
			_, _ = w.out.Write(buf) // there is no other output to report a failure
		case done := <-w.flush:
			buf = w.appendQueued(buf[:0])
			_, _ = w.out.Write(buf) // there is no other output to report a failure
			close(done)
		}
		if n := w.dropped.Load(); n != reported && time.Since(lastReport) >= dropReportInterval {
			_, _ = fmt.Fprintf(w.out, `{"time":%q,"level":"warn","part":"logging","dropped":%d,"message":"lines were dropped because the output was slow"}`+"\n",
				time.Now().Format("2006-01-02T15:04:05.000Z07:00"), n-reported)
			reported, lastReport = n, time.Now()
		}
	}
}

// batchBytes is the size from which a batch of lines is written without adding
// further ones. Batches save system calls and wake-ups of this process.
const batchBytes = 32 << 10

// appendQueued appends the queued lines to buf and does not wait for more.
func (w *NonBlockingWriter) appendQueued(buf []byte) []byte {
	for len(buf) < batchBytes {
		select {
		case line := <-w.lines:
			buf = w.takeLine(buf, line)
		default:
			return buf
		}
	}
	return buf
}

// takeLine appends a line that was taken from the queue.
func (w *NonBlockingWriter) takeLine(buf, line []byte) []byte {
	w.queued.Add(-int64(len(line)))
	return append(buf, line...)
}
