package httpserver

import (
	"net/http"
	"strconv"
	"time"
)

// write sends the answers in order.
func (c *conn) write() {
	broken := false
	for x := range c.queue {
		r := <-x.answer
		if !broken && !c.gone() {
			end := c.end(x.last)
			broken = c.send(r, x.method, end) != nil || end
			if end && !x.last {
				c.endReading()
			}
		}
		c.pending.Add(-1)
	}
}

func (c *conn) send(r *Response, method string, last bool) error {
	buf := make([]byte, 0, len(r.Body)+512)
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(r.Status), 10)
	buf = append(buf, ' ')
	buf = append(buf, http.StatusText(r.Status)...)
	buf = append(buf, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			buf = append(append(append(append(buf, name...), ": "...), v...), "\r\n"...)
		}
	}
	if last {
		buf = append(buf, "Connection: close\r\n"...)
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(r.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	if method != http.MethodHead {
		buf = append(buf, r.Body...)
	}
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.raw.Write(buf)
	if err != nil {
		c.closing.Store(true)
		c.cancel()
	}
	return err
}
