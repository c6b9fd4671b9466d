package httpserver

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"bramleyquay.example/router/memory"
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// bodyTimeout bounds the time for reading one body; Limits has no bound for it.
const bodyTimeout = 30 * time.Second

// readBody reads the body of a request, or sets Upload if it is long or deferred.
func (c *conn) readBody(hr *http.Request, r *Request, limits Limits) (status int, err error) {
	if hr.ContentLength > limits.BodyBytes {
		return http.StatusRequestEntityTooLarge, errTooLarge
	}
	if hr.Body == nil || hr.Body == http.NoBody {
		return 0, nil
	}
	if expects := hr.Header.Get("Expect") == "100-continue"; expects && c.server.deferBodies {
		r.Upload = newUpload(hr.Body, hr.ContentLength, limits.BodyBytes, c.interruptRead)
		return 0, nil
	} else if expects {
		if err := c.askForBody(); err != nil {
			return 0, err
		}
	}
	if err := c.setReadDeadline(bodyTimeout); err != nil {
		return 0, err
	}
	if hr.ContentLength > InlineBodyBytes {
		r.Upload = newUpload(hr.Body, hr.ContentLength, limits.BodyBytes, c.interruptRead)
		return 0, nil
	}
	// A chunked body is longer on the wire by the sizes of its chunks, and the
	// buffer reads ahead.
	inline := min(limits.BodyBytes, InlineBodyBytes)
	c.limited.remaining = 2*inline + readBufferBytes
	c.limited.failure = nil
	body, err := memory.ReadAll(r.Memory, hr.Body, hr.ContentLength, inline)
	switch {
	case errors.Is(err, memory.ErrTooLong) && int64(len(body)) > limits.BodyBytes:
		return http.StatusRequestEntityTooLarge, errTooLarge
	case errors.Is(err, memory.ErrTooLong):
		r.Upload = newUpload(io.MultiReader(bytes.NewReader(body), hr.Body), -1, limits.BodyBytes, c.interruptRead)
		return 0, nil
	case errors.Is(err, memory.ErrExhausted):
		return http.StatusServiceUnavailable, err
	case err != nil && c.limited.failure != nil:
		return 0, c.limited.failure
	case err != nil && isConnError(err):
		return 0, err
	case err != nil:
		return http.StatusBadRequest, err
	}
	r.Body = body
	return 0, nil
}

// askForBody writes 100 Continue once the responses to the earlier requests of the
// connection have been written, since it would be taken for a part of theirs. It writes
// nothing if the caller has begun to send the body.
func (c *conn) askForBody() error {
	for c.pending.Load() > 0 {
		if c.readingEnded() {
			return os.ErrDeadlineExceeded
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(responseCheckInterval)) // a failure shows at the read
		c.limited.remaining = readBufferBytes
		if _, err := c.br.Peek(1); err == nil || !isTimeout(err) {
			return err
		}
	}
	return c.writeContinue()
}

// responseCheckInterval is the time between two checks whether the earlier responses of a
// connection have been written.
const responseCheckInterval = 5 * time.Millisecond

// writeContinue asks the caller for the body. It sets a write deadline, because that of
// an earlier response stays in force on the connection.
func (c *conn) writeContinue() error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(c.raw, continueResponse)
	return err
}

// awaitUpload leaves the connection to the handler from the opening of the body on and
// waits until the handler has returned. It reports whether the caller closed the
// connection before.
func (c *conn) awaitUpload(u *Upload, handled <-chan struct{}) (callerDisconnected bool) {
	for {
		select {
		case <-handled:
			return false
		case <-u.opened:
			return c.receiveUpload(u, handled)
		case <-time.After(disconnectCheckInterval):
		}
		if c.server.deferBodies && c.hasDisconnected() {
			c.broken.Store(true)
			c.cancel()
			close(u.ready) // reading the body fails
			<-handled
			return true
		}
	}
}

// receiveUpload lets the handler read the body and waits until it has returned. It
// reports whether the caller closed the connection before.
func (c *conn) receiveUpload(u *Upload, handled <-chan struct{}) (callerDisconnected bool) {
	c.limited.remaining = math.MaxInt64 // Upload bounds the body
	err := c.beginUpload()
	if u.interrupted.Load() {
		c.interruptRead()
	}
	defer c.endUpload()
	if c.server.deferBodies && err == nil {
		err = c.writeContinue()
	}
	if err != nil {
		c.broken.Store(true)
		c.cancel()
	}
	close(u.ready)
	for {
		select {
		case <-handled:
			return err != nil
		case <-time.After(disconnectCheckInterval):
		}
		if err == nil && u.complete.Load() && c.hasDisconnected() {
			c.broken.Store(true)
			c.cancel()
			<-handled
			return true
		}
	}
}

// hasDisconnected reports whether the caller has closed a connection on which no bytes
// are expected.
func (c *conn) hasDisconnected() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(time.Millisecond)) // a failure shows at the read
	c.limited.remaining = readBufferBytes
	_, err := c.br.Peek(1)
	return err != nil && !isTimeout(err)
}
