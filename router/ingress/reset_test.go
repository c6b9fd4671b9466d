package ingress_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/strictresponse/responseforms"
)

// resettingTarget sends the begin of an answer without a length before it has read the
// body of the request, and then resets the connection.
func resettingTarget(t *testing.T) (address string) {
	return responseforms.Serve(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			responseforms.SendAndReset(conn, "HTTP/1.1 200 OK\r\n\r\nhello, world")
		}
	})
}

// Guards against the begin of an answer without a length that reaches a caller as a
// complete one, because the target reset the connection while the request was still being
// sent.
func TestResetDuringUpload(t *testing.T) {
	const size = 24 << 20 // more than all buffers between caller and target
	fx := newFixture(t, "plain", resettingTarget(t))
	fx.throughBoth(t, func(t *testing.T, base string) {
		is := is.New(t)
		complete := 0
		for range 40 {
			resp, _, err := do(t, http.MethodPost, base+"/plain/x", make([]byte, size))
			if err == nil && resp.StatusCode == http.StatusOK {
				complete++
			}
			if err == nil && resp.StatusCode != http.StatusOK {
				is.Equal(outcomeOf(resp), "unknown")
			}
		}
		is.Equal(complete, 0)
	})
}
