package standin

import (
	"net/http"
	"strconv"
)

// defaultLargeBytes is the default size of the answer at /large.
const defaultLargeBytes = 100 << 20

// serveLarge streams ?bytes=N bytes.
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

// serveBroken ends an answer of unknown length in the middle.
func serveBroken(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("the first part")) // the reader may have gone away
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	panic(http.ErrAbortHandler)
}
