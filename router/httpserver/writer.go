package httpserver

import (
	"net/http"
	"strconv"
	"time"
)

// writeResponses writes the responses in the order of the requests until the queue
// is closed. After the response that closes the connection, a write error or the
// caller's close it discards the responses, so that their handlers are still
// awaited.
func (c *conn) writeResponses() {
	finished := false
	for x := range c.queue {
		resp := <-x.response
		if !finished && !c.isBroken() {
			last := x.endsConnection(c.server.deferBodies)
			closes := c.decideClose(last)
			finished = c.writeResponse(resp, x.method, closes) != nil || closes
			now := time.Now()
			c.written.Store(&now)
			if closes && !last {
				// The reader waits for a further request, which would not be
				// answered.
				c.interruptRead()
			}
		}
		x.memory.Close()
		c.pending.Add(-1)
	}
}

// maxJoinedBodyBytes is the longest body that is copied behind the head of its response,
// to send both in one write.
const maxJoinedBodyBytes = 16 << 10

func (c *conn) writeResponse(resp *Response, method string, closes bool) error {
	joined := method != http.MethodHead && len(resp.Body) <= maxJoinedBodyBytes
	buf := make([]byte, 0, min(len(resp.Body), maxJoinedBodyBytes)+512)
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(resp.Status), 10)
	buf = append(buf, ' ')
	buf = append(buf, http.StatusText(resp.Status)...)
	buf = append(buf, "\r\n"...)
	for name, values := range resp.Header {
		for _, v := range values {
			buf = append(append(append(append(buf, name...), ": "...), v...), "\r\n"...)
		}
	}
	if closes {
		buf = append(buf, "Connection: close\r\n"...)
	}
	if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(resp.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	if joined {
		buf = append(buf, resp.Body...)
	}
	err := c.writeParts(buf)
	if err == nil && !joined && method != http.MethodHead {
		err = c.writeParts(resp.Body)
	}
	if err != nil {
		c.broken.Store(true)
		c.cancel()
	}
	return err
}

// writePartBytes is the number of bytes for which writeTimeout holds: a caller may read a
// long response slowly.
const writePartBytes = 64 << 10

func (c *conn) writeParts(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), writePartBytes)
		if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := c.raw.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}
