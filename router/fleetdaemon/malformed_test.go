package fleetdaemon_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/strictresponse/responseforms"
)

// answerRaw makes a target send bytes instead of its answers, and then close the
// connection or reset it.
func (t *target) answerRaw(text string, reset bool) {
	t.behave = func(w http.ResponseWriter, r *http.Request) bool {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return true
		}
		if reset {
			responseforms.SendAndReset(conn, text)
			return true
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
		return true
	}
}

// Guards against malformed answers of targets that reach callers as answers, against a
// second run of a request that is not idempotent, and against a safe request that fails
// because one of two targets sends such answers. The requests arrive at the process of the
// target and at another one.
func TestMalformedAnswersOfTargets(t *testing.T) {
	keyed, plain, _ := startServingCluster(t)
	const head = "HTTP/1.1 200 OK\r\nX-Signed: t\r\n"
	for name, text := range map[string]string{
		"status 000":                  "HTTP/1.1 000 None\r\nX-Signed: t\r\nContent-Length: 5\r\n\r\nhello",
		"status 099":                  "HTTP/1.1 099 Odd\r\nX-Signed: t\r\nContent-Length: 5\r\n\r\nhello",
		"blank in a name":             head + "X Y: 1\r\nContent-Length: 5\r\n\r\nhello",
		"blank behind Content-Length": head + "Content-Length : 5\r\n\r\nhello, world",
		"folded Content-Length":       head + "X-Y: 1\r\n Content-Length: 5\r\n\r\nhello, world",
		"control byte in a name":      head + "X\x01Y: 1\r\nContent-Length: 5\r\n\r\nhello",
		"coding in HTTP/1.0":          "HTTP/1.0 200 OK\r\nX-Signed: t\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plain[0].answerRaw(text, false)
			plain[1].answerRaw(text, false)
			for i, via := range []*target{plain[0], keyed[0]} {
				id := fmt.Sprint(name, i)
				status, body, _ := via.call("POST", "/unsafe/a", id, nil)
				if status != http.StatusBadGateway {
					t.Errorf("answered with status %d, %q", status, body)
				}
				is.Equal(plain[0].count(id)+plain[1].count(id), 1)
			}
			plain[1].behave = nil
			status, body, _ := plain[0].call("GET", "/safe/a", name, nil)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "p2 ran /safe/a for plain")
		})
	}
}

// Guards against the begin of an answer without a length that reaches a caller as a
// complete one, because the target reset the connection while the upload was still being
// sent.
func TestTargetResetsDuringUpload(t *testing.T) {
	keyed, plain, _ := startServingCluster(t)
	for _, p := range plain {
		p.answerRaw("HTTP/1.1 200 OK\r\nX-Signed: t\r\n\r\nhello, world", true)
	}
	for name, via := range map[string]*target{"its process": plain[0], "another process": keyed[0]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 10 {
				id := fmt.Sprint(name, i)
				status, body := via.upload(id, 24<<20, false)
				if status != http.StatusBadGateway {
					t.Errorf("answered with status %d, %q", status, body)
				}
				is.Equal(plain[0].count(id)+plain[1].count(id), 1)
			}
		})
	}
}
