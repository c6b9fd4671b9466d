package httpserver

import (
	"bufio"
	"errors"
	"net"
	"time"

	"bramleyquay.example/router/callconn"
)

// admit counts a request, which has been read, as pending. It reports false if the
// response that closes the connection has been chosen already. more says that bytes of
// the next request have been received.
func (c *conn) admit(more bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReading(more)
	if c.closeDecided {
		return false
	}
	c.pending.Add(1)
	return true
}

// setReading records whether a request has been received in part. The caller holds mu.
func (c *conn) setReading(reading bool) {
	c.reading = reading
	c.readingChanged.Broadcast()
}

// beginReading records that the first byte of a request has been received.
func (c *conn) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReading(true)
}

// endReading records that no further request is read.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnded = true
	c.setReading(false)
}

// decideClose reports whether the next response closes the connection: it answers the
// last request, or no other request is pending and none will be, because the server
// drains or the reader has ended. A request that is being received while the server
// drains is still to be answered; once the server closes, reading it fails at once, or it
// has been received whole. Once decideClose has returned true, admit accepts no request.
func (c *conn) decideClose(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !last && !c.readEnded && c.reading && c.pending.Load() == 1 && c.server.isClosing() {
		c.readingChanged.Wait()
	}
	ends := c.readEnded || c.server.isDraining() && !c.receives()
	if last || ends && c.pending.Load() == 1 {
		c.closeDecided = true
	}
	return c.closeDecided
}

// receives reports whether a part of a further request has arrived. The caller holds mu.
func (c *conn) receives() bool {
	if c.reading || c.server.isClosing() {
		return c.reading
	}
	n, _, err := callconn.Peek(c.raw)
	return err == nil && n > 0
}

// setReadDeadline bounds a read that is in progress or follows. Once no further request
// is to be read it ends the read at once, also if Shutdown or the writer has called
// interruptRead before.
func (c *conn) setReadDeadline(timeout time.Duration) error {
	if err := c.raw.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if c.readingEnded() {
		c.interruptRead()
	}
	return nil
}

// beginLinger sets the time for which lingeringClose reads. endIdle does not interrupt it.
func (c *conn) beginLinger(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout)) // a failure shows at the read
}

// endIdle ends the wait for a request, and the reading of one that has not been admitted.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.uploading && !c.lingering {
		c.interruptRead()
	}
}

// beginUpload lets a handler read a body. Until endUpload, endIdle does not interrupt it.
func (c *conn) beginUpload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploading = true
	return c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
}

func (c *conn) endUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploading = false
}

// awaitFirstByte waits until a request begins. The connection is idle while no request is
// pending, from the time of the last response on.
func (c *conn) awaitFirstByte(idle time.Duration) error {
	for timeout := idle; ; {
		if err := c.setReadDeadline(timeout); err != nil {
			return err
		}
		_, err := c.br.Peek(1)
		if err == nil {
			c.beginReading()
			return nil
		}
		timeout = idle
		if c.pending.Load() == 0 {
			timeout -= time.Since(c.lastResponse())
		}
		if !isTimeout(err) || c.readingEnded() || timeout <= 0 {
			return err
		}
	}
}

// lastResponse returns the time at which the last response was written, or the zero time.
func (c *conn) lastResponse() time.Time {
	if t := c.written.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// awaitResponses waits until the pending responses have been written or the
// caller closes the connection, and reports the latter. It reads no request.
func (c *conn) awaitResponses() (callerDisconnected bool) {
	c.endReading()
	for c.pending.Load() > 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(disconnectCheckInterval)) // a failure shows at the read
		c.limited.remaining = readBufferBytes
		_, err := c.br.Peek(c.br.Buffered() + 1)
		switch {
		case err == nil, errors.Is(err, bufio.ErrBufferFull):
			time.Sleep(disconnectCheckInterval) // bytes after the last request stay unread
		case isTimeout(err):
		default:
			c.broken.Store(true)
			return true
		}
	}
	return false
}

// isTimeout reports whether a read ended at its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
