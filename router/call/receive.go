package call

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"bramleyquay.example/coord/outcome"
)

// writeGrace is the time after the deadline in which a refusal can still be sent
// to the caller.
const writeGrace = time.Second

// Receive sets read and write deadlines for the caller or peer, and reads a body
// of known length up to BufferedBodyBytes into Buffered, so that the call can be
// retried. It blocks until that body has been read, and returns a refusal with
// outcome not-run if the body ends early or the deadline passes first. Without the
// deadlines a caller that stops reading would occupy a slot of the target for as
// long as its connection is open.
//
// The server must have a write timeout, which it sets anew for each request:
// otherwise the deadline set here would apply to the next request on the
// connection, too.
func (c *Call) Receive(w http.ResponseWriter) *outcome.Refusal {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(c.Deadline.Add(writeGrace)) // httptest.ResponseRecorder has no deadlines
	if c.Length == 0 || c.Body == nil || c.Body == http.NoBody {
		c.IsBuffered = true
		return nil
	}
	// net/http clears the read deadline at the end of the body.
	_ = control.SetReadDeadline(c.Deadline)
	if c.Length < 0 || c.Length > BufferedBodyBytes {
		return nil
	}
	c.Buffered = make([]byte, c.Length)
	if _, err := io.ReadFull(c.Body, c.Buffered); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return outcome.NewNotRun(outcome.ReasonDeadline, "the deadline passed before the body had arrived")
		}
		return outcome.NewNotRun(outcome.ReasonBadRequest, "the body ended early: "+err.Error())
	}
	c.IsBuffered = true
	return nil
}
