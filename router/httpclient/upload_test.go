package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/strictresponse/responseforms"
)

func lengthOf(body []byte) string { return strconv.Itoa(len(body)) }

// rawTarget starts a server that passes each connection to handle.
func rawTarget(t *testing.T, handle func(c net.Conn, br *bufio.Reader)) *httpclient.Client {
	t.Helper()
	return httpclient.New(httpclient.Config{Address: responseforms.Serve(t, handle), RequestIDHeader: "X-Id", DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20, StallTimeout: 10 * time.Second})
}

func upload(id, body string) *httpclient.Request {
	r := request(id)
	r.Method, r.Body, r.AwaitContinue = "POST", []byte(body), true
	return r
}

// Guards against a body that is sent although the server has refused the request, and
// against a connection that is not reused after that.
func TestBodyIsNotSentAfterRefusal(t *testing.T) {
	is := is.New(t)
	c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			if strings.HasPrefix(id, "refused") {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
				continue // the next bytes are the next request
			}
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			body, _ := io.ReadAll(r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: "+lengthOf(body)+"\r\n\r\n"+string(body))
		}
	})
	for i := range 3 {
		resp, err := c.Do(context.Background(), upload(fmt.Sprint("refused", i), "body"))
		is.NoErr(err)
		is.Equal(resp.Status, 503)
	}
	resp, err := c.Do(context.Background(), upload("1", "body"))
	is.NoErr(err)
	is.Equal(string(resp.Body), "body")
	is.Equal(c.ConnectionsOpened(), uint64(1))
}

// Guards against a request that counts as possibly executed although its body was not
// sent, and against the opposite.
func TestBrokenUpload(t *testing.T) {
	for name, continues := range map[string]bool{"before 100 Continue": false, "after 100 Continue": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err == nil && continues {
					_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
					_, _ = io.Copy(io.Discard, r.Body)
				}
			})
			_, err := c.Do(context.Background(), upload("1", "body"))
			var unsent *httpclient.NotSentError
			is.Equal(errors.As(err, &unsent), !continues)
		})
	}
}

// Guards against a body that breaks off and reaches the server as complete.
func TestSourceThatBreaksOff(t *testing.T) {
	for name, length := range map[string]int64{"with length": 10, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			read := make(chan error, 1)
			c := rawTarget(t, func(_ net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				read <- err
			})
			r := request("1")
			r.Method = "POST"
			body := io.MultiReader(strings.NewReader("part"), brokenReader{})
			r.Source = &httpclient.Source{Length: length, Open: func() (io.Reader, error) { return body, nil }}
			_, err := c.Do(context.Background(), r)
			var source *httpclient.SourceError
			is.True(errors.As(err, &source))
			is.True(<-read != nil) // the server has no complete body
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against the reuse of a connection on which the rest of a body is still due:
// the server has answered before it had read the body.
func TestAnswerBeforeBody(t *testing.T) {
	is := is.New(t)
	c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(300 * time.Millisecond)
	})
	for range 2 {
		r := request("1")
		r.Method = "POST"
		release := make(chan struct{})
		r.Source = &httpclient.Source{Length: 8 << 20, Open: func() (io.Reader, error) { return blockedReader{release}, nil }}
		resp, err := c.Do(context.Background(), r)
		is.NoErr(err)
		is.Equal(string(resp.Body), "ok")
		close(release)
	}
	is.Equal(c.ConnectionsOpened(), uint64(2))
}

type blockedReader struct{ release chan struct{} }

func (b blockedReader) Read([]byte) (int, error) {
	<-b.release
	return 0, io.ErrUnexpectedEOF
}

// Guards against a body that is broken off because the target pauses reading it.
func TestTargetThatPausesReading(t *testing.T) {
	is := is.New(t)
	const size = 16 << 20 // more than all buffers between the two
	c := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		time.Sleep(2500 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Size: %d\r\nContent-Length: 0\r\n\r\n", n)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := request("1")
	r.Method, r.Body = "POST", make([]byte, size)
	resp, err := c.Do(ctx, r)
	is.NoErr(err)
	is.Equal(resp.Header.Get("X-Size"), fmt.Sprint(size))
}
