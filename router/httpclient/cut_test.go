package httpclient_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpclient"
)

// serveAnswer starts a server that sends an answer to one request and then closes the
// connection, or resets it. It returns the server's address.
func serveAnswer(t *testing.T, answer []byte, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c)) // the client's own request
		_, _ = c.Write(answer)
		if reset {
			time.Sleep(20 * time.Millisecond) // a reset discards what has not been read
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	return l.Addr().String()
}

// answerWith returns the result of a request to a server of serveAnswer.
func answerWith(t *testing.T, answer string, reset bool) (*httpclient.Response, error) {
	t.Helper()
	client := httpclient.New(httpclient.Config{Address: serveAnswer(t, []byte(answer), reset), RequestIDHeader: "X-Id", DialTimeout: 10 * time.Second, MaxBody: 1 << 16})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, request("1"))
}

// Guards against an answer that breaks off at any of its bytes and counts as complete.
func TestAnswerCutAtEachByte(t *testing.T) {
	is := is.New(t)
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: t\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunks":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		for n := range len(answer) {
			_, err := answerWith(t, answer[:n], false)
			if err == nil {
				t.Errorf("%s: complete after %d of %d bytes", name, n, len(answer))
			}
		}
		resp, err := answerWith(t, answer, false)
		is.NoErr(err)
		is.Equal(string(resp.Body), "hello, world")
	}
}

// Guards against an answer without a length that counts as complete although its
// connection was reset.
func TestAnswerWithoutLengthIsReset(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello, world"
	_, err := answerWith(t, answer, true)
	is.True(err != nil)
	resp, err := answerWith(t, answer, false)
	is.NoErr(err)
	is.Equal(string(resp.Body), "hello, world")
}

// Guards against a head that breaks off at any of its bytes and counts as a complete
// answer with an empty or short body, where the connection ends in order.
func TestHeadCutAtEachByte(t *testing.T) {
	for name, head := range map[string]string{
		"no length":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: t\r\n\r\n",
		"length last":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: t\r\nContent-Length: 120\r\n\r\n",
		"length first":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Signed: t\r\nX-Id: 1\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
		"bare feeds":    "HTTP/1.1 200 OK\nX-Id: 1\nX-Signed: t\n\n",
	} {
		for n := range len(head) {
			if resp, err := answerWith(t, head[:n], false); err == nil {
				t.Errorf("%s: %q counts as an answer with status %d and %d bytes", name, head[:n], resp.Status, len(resp.Body))
			}
		}
	}
}
