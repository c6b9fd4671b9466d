package httpserver

import (
	"io"

	"bramleyquay.example/router/memory"
)

// limitReader fails with errTooLarge once remaining bytes have been read. The
// connection sets remaining before it reads each part of a request; exceeded stays
// set.
type limitReader struct {
	inner     io.Reader
	remaining int64
	exceeded  bool
	// failure is the last error of inner. What parses a head or a chunked body may return
	// another one in its place: bufio.Reader.ReadLine returns a part of a line as a line.
	failure error
	// head is charged with the bytes of a head.
	head memory.Head
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.inner.Read(p)
	if err != nil {
		l.failure = err
	}
	l.remaining -= int64(n)
	if headErr := l.head.Add(n); headErr != nil {
		return 0, headErr
	}
	return n, err
}
