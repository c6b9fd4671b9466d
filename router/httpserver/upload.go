package httpserver

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrBodyTooLong is the error of a body that exceeds Limits.BodyBytes.
var ErrBodyTooLong = errors.New("the body exceeds the limit")

// errOpened is the error of a second call of Upload.Open.
var errOpened = errors.New("the body has been opened already")

// Upload is a body that the handler reads from the connection. Until it is opened,
// a caller that awaits 100 Continue sends no byte of it.
type Upload struct {
	// Length is the length in bytes, or -1 if it is not known.
	Length int64

	mu     sync.Mutex
	body   io.Reader
	left   int64 // bytes until the limit
	opened chan struct{}
	// ready is closed when the connection's reader leaves the connection to Read.
	ready   chan struct{}
	tooLong bool // reading has ended at the limit
	ended   bool // the handler has returned
	// complete is set when the whole body has been read.
	complete atomic.Bool
	// interrupt ends a read of the connection that is in progress.
	interrupt func()
	finished  atomic.Bool // no read has to be interrupted any more
	// interrupted is set by Interrupt. The reader of the connection checks it after it has
	// set the deadline for the body, which ends an earlier interruption.
	interrupted atomic.Bool
}

func newUpload(body io.Reader, length, limit int64, interrupt func()) *Upload {
	return &Upload{Length: length, body: body, left: limit, opened: make(chan struct{}), ready: make(chan struct{}), interrupt: interrupt}
}

// Interrupt makes reading the body fail, also a read in progress or after a later Open,
// unless it is complete.
func (u *Upload) Interrupt() {
	u.interrupted.Store(true)
	if u.IsOpened() && !u.finished.Swap(true) {
		u.interrupt()
	}
}

// Open asks the caller to send the body and returns it. It can be called once, and
// the body can be read until the handler returns.
func (u *Upload) Open() (io.Reader, error) {
	select {
	case <-u.opened:
		return nil, errOpened
	default:
	}
	close(u.opened)
	<-u.ready
	return u, nil
}

// IsOpened reports whether Open was called.
func (u *Upload) IsOpened() bool {
	select {
	case <-u.opened:
		return true
	default:
		return false
	}
}

// Read implements io.Reader. After the end of the limit it returns ErrBodyTooLong, and
// io.ErrUnexpectedEOF if the caller breaks the body off.
func (u *Upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return 0, io.ErrClosedPipe
	}
	n, err := u.body.Read(p)
	u.left -= int64(n)
	if u.left < 0 {
		u.tooLong = true
		return 0, ErrBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		u.complete.Store(true)
		u.finished.Store(true)
	}
	return n, err
}

// IsTooLong reports whether reading has ended at the limit.
func (u *Upload) IsTooLong() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tooLong
}

// end ends the reading of the body, also a read in progress, and reports whether it was
// complete.
func (u *Upload) end() (complete bool) {
	u.Interrupt()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	return u.complete.Load()
}
