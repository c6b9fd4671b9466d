package standin

import (
	"net/http"
	"strconv"
)

// defaultLargeBytes is the size of the response at /large without ?bytes.
const defaultLargeBytes = 100 << 20

// serveLarge streams a response of ?bytes=N zero bytes, by default defaultLargeBytes.
func serveLarge(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil {
		size = defaultLargeBytes
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	block := make([]byte, 64<<10)
	for size > 0 {
		n := min(size, int64(len(block)))
		if _, err := w.Write(block[:n]); err != nil {
			return
		}
		size -= n
	}
}

// serveBroken aborts the connection in the middle of a response of unknown length.
func serveBroken(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("the first part")) // fails if the connection is closed
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	panic(http.ErrAbortHandler)
}
