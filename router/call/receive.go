package call

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"bramleyquay.example/coord/outcome"
)

// writeGrace lets a refusal at the deadline still reach the caller.
const writeGrace = time.Second

// Receive bounds how long the other end may take to send the request and to
// read the answer, and buffers a body of known small size, so that it can be
// sent again. Without the bound a caller that stops reading would hold a slot
// of the target for as long as its connection lasts.
//
// The server must set a write timeout for each request, because the deadline
// set here would otherwise hold for the next request on the connection.
func (c *Call) Receive(w http.ResponseWriter) *outcome.Refusal {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(c.Deadline.Add(writeGrace)) // recorders have no deadlines
	if c.Length == 0 || c.Body == nil || c.Body == http.NoBody {
		c.IsBuffered = true
		return nil
	}
	// net/http lifts the read deadline when the body has ended.
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
