package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/call"
	"bramleyquay.example/router/strictresponse/responseforms"
)

// rawTarget is a target that answers with the bytes that a test gives. Unless
// keepOpen is set, it closes the connection after any answer but completeAnswer.
type rawTarget struct {
	requests, connections atomic.Int64
	keepOpen              bool
	// answer returns the bytes of the answer to request n, counted from 1.
	answer func(n int64, r *http.Request) string
}

func (rt *rawTarget) listen(t *testing.T) string {
	return responseforms.Serve(t, rt.serve)
}

func (rt *rawTarget) serve(conn net.Conn, in *bufio.Reader) {
	rt.connections.Add(1)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := rt.answer(rt.requests.Add(1), r)
		if _, err := io.WriteString(conn, text); err != nil || !rt.keepOpen && text != completeAnswer {
			return
		}
	}
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestBrokenAnswerIsNeverComplete guards against passing on an incomplete answer of
// a target as a complete one, and against any outcome but unknown for it.
func TestBrokenAnswerIsNeverComplete(t *testing.T) {
	const long = 256 << 10 // more than the buffers between target and caller
	chunk := "40000\r\n" + strings.Repeat("x", long) + "\r\n"
	var text string
	rt := &rawTarget{answer: func(int64, *http.Request) string { return text }}
	fx := newFixture(t, "plain", rt.listen(t))
	for name, answer := range map[string]string{
		"short with length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"long with length":   "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("x", long),
		"short chunked":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"long chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"bad chunk size":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n",
		"no body":            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"half a header":      "HTTP/1.1 200 OK\r\nContent-Le",
		"not HTTP":           "SSH-2.0-OpenSSH\r\n\r\n",
		"large header":       "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 128<<10) + "\r\n\r\n",
		"status below 100":   "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n",
		"switched protocols": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"only early hints":   "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			text = answer
			fx.throughBoth(t, func(t *testing.T, base string) {
				is := is.New(t)
				resp, _, err := do(t, http.MethodPost, base+"/plain/x", []byte("b"))
				if err != nil {
					return // the connection was closed, which no caller takes for an answer
				}
				is.Equal(outcomeOf(resp), "unknown")
				is.Equal(resp.StatusCode, http.StatusBadGateway)
			})
		})
	}
	is.New(t).Equal(fx.gate.Status().Limiter.Running, 0) // every slot is free again
}

// TestAnswersWithoutBody guards against a wrong length, or a wait for a body, in the
// answers to HEAD and with status 204 or 304.
func TestAnswersWithoutBody(t *testing.T) {
	var text string
	rt := &rawTarget{keepOpen: true, answer: func(int64, *http.Request) string { return text }}
	fx := newFixture(t, "plain", rt.listen(t))
	for _, c := range []struct {
		name, method, answer string
		status               int
		length               string
	}{
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 123\r\n\r\n", 200, "123"},
		{"HEAD without length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", 200, ""},
		{"HEAD of a 404", "HEAD", "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\n", 404, "9"},
		{"204", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 123\r\n\r\n", 304, ""},
		{"304 without length", "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", 304, ""},
		{"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "0"},
		{"early hints before the answer", "GET", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeAnswer, 200, "2"},
		{"odd status", "GET", "HTTP/1.1 799 Odd\r\nContent-Length: 0\r\n\r\n", 799, "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text = c.answer
			fx.throughBoth(t, func(t *testing.T, base string) {
				is := is.New(t)
				resp, _, err := do(t, c.method, base+"/plain/x", nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.Equal(outcomeOf(resp), "done")
				is.Equal(resp.Header.Get("Content-Length"), c.length)
			})
		})
	}
}

// TestOutcomeOfTarget guards against passing on an outcome that a target states,
// except not-run.
func TestOutcomeOfTarget(t *testing.T) {
	for target, want := range map[string]string{"not-run": "not-run", "unknown": "done", "done": "done", "NOT-RUN": "done", "not-run, done": "done"} {
		t.Run(target, func(t *testing.T) {
			rt := &rawTarget{keepOpen: true, answer: func(int64, *http.Request) string {
				return "HTTP/1.1 503 Busy\r\n" + call.HeaderOutcome + ": " + target + "\r\nContent-Length: 2\r\n\r\nok"
			}}
			newFixture(t, "plain", rt.listen(t)).throughBoth(t, func(t *testing.T, base string) {
				is := is.New(t)
				resp, _, err := do(t, http.MethodPost, base+"/plain/x", []byte("b"))
				is.NoErr(err)
				is.Equal(outcomeOf(resp), want)
			})
		})
	}
}
