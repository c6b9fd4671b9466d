package httpclient_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/strictresponse/responseforms"
)

const (
	answerWithoutLength = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello, world"
	uploadBytes         = 24 << 20 // more than all buffers between client and server
)

// uploads are requests with a long body, which is in memory or read while it is sent.
func uploads() map[string]func() *httpclient.Request {
	return map[string]func() *httpclient.Request{
		"body": func() *httpclient.Request {
			r := request("1")
			r.Method, r.Body = "POST", make([]byte, uploadBytes)
			return r
		},
		"source": func() *httpclient.Request {
			r := request("1")
			r.Method = "POST"
			r.Source = &httpclient.Source{Length: uploadBytes, Open: func() (io.Reader, error) { return bytes.NewReader(make([]byte, uploadBytes)), nil }}
			return r
		},
	}
}

// Guards against an answer without a length that counts as complete although its
// connection was reset while the request was still being sent.
func TestResetDuringUpload(t *testing.T) {
	for name, upload := range uploads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			complete := 0
			for range 40 {
				c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
					if _, err := http.ReadRequest(br); err == nil {
						responseforms.SendAndReset(c, answerWithoutLength)
					}
				})
				resp, err := c.Do(context.Background(), upload())
				if err == nil {
					is.Equal(string(resp.Body), "hello, world")
					complete++
					continue
				}
				var incomplete *httpclient.IncompleteResponseError
				is.True(errors.As(err, &incomplete)) // the request may have run
			}
			is.Equal(complete, 0)
		})
	}
}

// Guards against an answer without a length that is refused although the server had closed
// its side after it, and only then reset the connection.
func TestResetAfterEndOfAnswer(t *testing.T) {
	for name, upload := range uploads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 40 {
				c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, answerWithoutLength)
					_ = c.(*net.TCPConn).CloseWrite()
					time.Sleep(time.Duration(i%4) * 100 * time.Microsecond)
					_ = c.(*net.TCPConn).SetLinger(0) // the close is a reset
				})
				resp, err := c.Do(context.Background(), upload())
				is.NoErr(err)
				is.Equal(string(resp.Body), "hello, world")
			}
		})
	}
}
