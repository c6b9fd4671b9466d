package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is the number of lines that wait for a slow output. At the
	// rate of a busy process they are some seconds of its log.
	boundedLines = 4096
	// droppedInterval is the shortest time between two reports of lost lines.
	droppedInterval = time.Second
)

// NonBlockingWriter is an output that never blocks its writers: lines that find no room
// are dropped, counted and reported.
type NonBlockingWriter struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// NewNonBlockingWriter returns an output that writes to out from a goroutine of its own.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{out: out, lines: make(chan []byte, boundedLines), flush: make(chan chan struct{})}
	go b.run()
	return b
}

// Write queues one line.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until the lines that were written before are out, at most for
// the given time.
func (b *NonBlockingWriter) Flush(limit time.Duration) {
	done := make(chan struct{})
	timeout := time.After(limit)
	select {
	case b.flush <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

func (b *NonBlockingWriter) run() {
	var reported uint64
	var at time.Time
	var buf []byte
	for {
		select {
		case line := <-b.lines:
			buf = b.gather(append(buf[:0], line...))
			_, _ = b.out.Write(buf) // there is nowhere to report a lost log
		case done := <-b.flush:
			buf = b.gather(buf[:0])
			_, _ = b.out.Write(buf) // there is nowhere to report a lost log
			close(done)
		}
		if n := b.dropped.Load(); n != reported && time.Since(at) >= droppedInterval {
			_, _ = fmt.Fprintf(b.out, `{"time":%q,"level":"warn","part":"logging","dropped":%d,"message":"lines were dropped because the output was slow"}`+"\n",
				time.Now().Format("2006-01-02T15:04:05.000Z07:00"), n-reported)
			reported, at = n, time.Now()
		}
	}
}

// gatherBytes bounds one write: fewer writes wake the process less often.
const gatherBytes = 32 << 10

// gather adds the lines that wait already.
func (b *NonBlockingWriter) gather(buf []byte) []byte {
	for len(buf) < gatherBytes {
		select {
		case line := <-b.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
