package call

import (
	"context"
	"io"
	"net/http"
)

// Response is a target's response. The receiver must close Body. A read error
// other than io.EOF means that the response is incomplete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// Replayed says that this is the recorded response of an earlier try.
	Replayed bool
}

// CancelBody is a response body that calls Cancel when it is closed, to end the
// request's context.
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
