package httpserver_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpserver"
)

// Guards against an answer that is cut off because its caller pauses reading: the window
// of the connection is closed in that time, but the caller is reachable.
func TestCallerThatPausesReading(t *testing.T) {
	is := is.New(t)
	const size = 16 << 20 // more than all buffers between the two
	s := start(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return &httpserver.Response{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
	})
	c, br := dial(t, s)
	_, err := fmt.Fprint(c, get("/"))
	is.NoErr(err)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 4096))
	is.NoErr(err)
	time.Sleep(2500 * time.Millisecond)
	rest, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(rest, int64(size-4096))
}
