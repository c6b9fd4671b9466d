package call

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"bramleyquay.example/coord/outcome"
)

// copyBufferBytes is the size of the buffer for streaming one response.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// WriteResponse streams a response to w and closes its body. If reading the body
// or writing fails it panics with http.ErrAbortHandler, which closes the
// connection, so that the receiver cannot mistake a part for the complete
// response. The headers in extra replace those of the response.
func WriteResponse(w http.ResponseWriter, resp *Response, extra http.Header) {
	defer resp.Body.Close()
	h := w.Header()
	CopyHeader(h, resp.Header)
	for name, values := range extra {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(outcome.Done))
	if resp.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	w.WriteHeader(resp.Status)
	if err := stream(w, resp.Body, resp.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream copies body to w. With flush it flushes after each read, so that the
// parts of a response of unknown length arrive without delay.
func stream(w http.ResponseWriter, body io.Reader, flush bool) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flusher, canFlush := w.(http.Flusher)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case flush && canFlush:
			flusher.Flush()
		}
	}
}
