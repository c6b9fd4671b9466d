package call

import (
	"context"
	"io"
	"net/http"
)

// Response is a target's answer. Body must be closed; an error other than
// io.EOF from it means that the answer broke off.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// Replayed marks the recorded answer of an earlier try.
	Replayed bool
}

// CancelBody ends the request's context when the answer is closed.
type CancelBody struct {
	io.ReadCloser
	Cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *CancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.Cancel()
	return err
}
