package httpclient

import (
	"errors"
	"io"

	"bramleyquay.example/router/memory"
)

const (
	// maxHeadBytes bounds the status line and the headers of a response, also of all
	// informational ones before it, and the trailers.
	maxHeadBytes = 64 << 10
	// maxSkipped bounds the informational responses and those to earlier requests
	// before a response.
	maxSkipped = 16
)

var (
	errHeadTooLong     = errors.New("the head of the answer is too long")
	errTooManySkipped  = errors.New("too many answers that are not to this request")
	errEncodingTooLong = errors.New("the encoding of the answer is too long for its body")
)

// limitedReader fails with err once remaining bytes have been read.
type limitedReader struct {
	inner     io.Reader
	remaining int64
	err       error
	// head is charged with the bytes of a head.
	head memory.Head
}

// limit allows n more bytes and then fails with err.
func (l *limitedReader) limit(n int64, err error) { l.remaining, l.err = n, err }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, l.err
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.inner.Read(p)
	l.remaining -= int64(n)
	if headErr := l.head.Add(n); headErr != nil {
		return 0, headErr
	}
	return n, err
}
