package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/logging"
)

// startUploadServer starts a server with a limit of 1 MiB for bodies.
func startUploadServer(t *testing.T, forPeers bool, handle httpserver.HandlerFunc) net.Conn {
	t.Helper()
	limits := func() httpserver.Limits {
		l := httpserver.DefaultLimits()
		l.BodyBytes = 1 << 20
		return l
	}
	build := httpserver.New
	if forPeers {
		build = httpserver.NewForPeers
	}
	s := build(handle, limits, logging.ForComponent(logging.New(io.Discard, "error", false), "edge"))
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go s.Run()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return c
}

// readUpload answers with the length of the body, or with the error of reading it.
func readUpload(_ context.Context, r *httpserver.Request) *httpserver.Response {
	if r.Upload == nil {
		return httpserver.TextResponse(200, "inline")
	}
	body, err := r.Upload.Open()
	if err == nil {
		_, err = io.Copy(io.Discard, body)
	}
	if err != nil {
		return httpserver.TextResponse(400, err.Error())
	}
	return httpserver.TextResponse(200, "read")
}

func answerText(t *testing.T, br *bufio.Reader) (string, *http.Response) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(text)), resp
}

const longBody = 700 << 10 // longer than httpserver.InlineBodyBytes

// Guards against long bodies that are collected in memory before their request is
// handled, and against a connection that is closed after a body was read completely.
func TestLongBodyIsPassedOn(t *testing.T) {
	is := is.New(t)
	c := startUploadServer(t, false, readUpload)
	br := bufio.NewReader(c)
	body := strings.Repeat("x", longBody)
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 716800\r\n\r\n" + body,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\naf000\r\n" + body + "\r\n0\r\n\r\n",
	} {
		go func() { _, _ = io.WriteString(c, text) }()
		got, resp := answerText(t, br)
		is.Equal(got, "read")
		is.True(!resp.Close)
	}
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	is.NoErr(err)
	got, _ := answerText(t, br)
	is.Equal(got, "inline")
}

// Guards against a body beyond the limit that is passed on as complete, and against
// the reuse of its connection.
func TestTooLongBody(t *testing.T) {
	is := is.New(t)
	c := startUploadServer(t, false, readUpload)
	go func() {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(c, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")
		}
	}()
	got, resp := answerText(t, bufio.NewReader(c))
	is.Equal(got, httpserver.ErrBodyTooLong.Error())
	is.True(resp.Close)
}

// Guards against a body that the caller breaks off and that is read as complete.
func TestBodyThatBreaksOff(t *testing.T) {
	for name, text := range map[string]string{
		"with length": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 716800\r\n\r\nabc",
		"in chunks":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\naf000\r\n" + strings.Repeat("x", 300<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			read := make(chan int, 1)
			c := startUploadServer(t, false, func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
				resp := readUpload(ctx, r)
				read <- resp.Status
				return resp
			})
			_, err := io.WriteString(c, text)
			is.NoErr(err)
			is.NoErr(c.Close())
			is.Equal(<-read, 400)
		})
	}
}

// Guards against bodies that peers send for refused requests, and against a request
// that is not cancelled when the peer disconnects before its body.
func TestDeferredBody(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	c := startUploadServer(t, true, func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
		switch r.Path {
		case "/refused":
			return httpserver.TextResponse(503, "refused")
		case "/waits":
			<-ctx.Done()
			close(cancelled)
			return httpserver.TextResponse(503, "left")
		}
		return readUpload(ctx, r)
	})
	br := bufio.NewReader(c)
	head := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
	}
	for range 2 {
		_, err := io.WriteString(c, head("/refused"))
		is.NoErr(err)
		got, resp := answerText(t, br)
		is.Equal(got, "refused")
		is.True(!resp.Close)
	}
	_, err := io.WriteString(c, head("/read"))
	is.NoErr(err)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 100)
	_, err = io.WriteString(c, "abc")
	is.NoErr(err)
	got, _ := answerText(t, br)
	is.Equal(got, "read")
	_, err = io.WriteString(c, head("/waits"))
	is.NoErr(err)
	is.NoErr(c.Close())
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Error("the request is not cancelled")
	}
}

// Guards against a refusal that the caller loses because the connection is reset while
// it still sends the body: without the answer it does not know that nothing ran.
func TestRefusalDuringUploadIsDelivered(t *testing.T) {
	is := is.New(t)
	c := startUploadServer(t, false, func(context.Context, *httpserver.Request) *httpserver.Response {
		return httpserver.TextResponse(503, "refused")
	})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n")
	is.NoErr(err)
	part := strings.Repeat("x", 64<<10)
	for range 16 {
		_, err := io.WriteString(c, part)
		is.NoErr(err)
		time.Sleep(60 * time.Millisecond) // a slow caller, about a second in all
	}
	got, resp := answerText(t, bufio.NewReader(c))
	is.Equal(got, "refused")
	is.True(resp.Close)
}

// Guards against an answer that waits for a caller that has stopped sending its body.
func TestAnswerDoesNotAwaitStalledBody(t *testing.T) {
	is := is.New(t)
	c := startUploadServer(t, false, func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		body, err := r.Upload.Open()
		if err != nil {
			return httpserver.TextResponse(500, err.Error())
		}
		go func() { _, _ = io.Copy(io.Discard, body) }() // is still reading at the deadline
		time.Sleep(100 * time.Millisecond)
		return httpserver.TextResponse(504, "deadline")
	})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\nabc")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	got, _ := answerText(t, bufio.NewReader(c))
	is.Equal(got, "deadline")
}

// Guards against a read of a body that does not end when it is interrupted.
func TestInterruptedBody(t *testing.T) {
	is := is.New(t)
	c := startUploadServer(t, true, func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		time.AfterFunc(100*time.Millisecond, r.Upload.Interrupt)
		resp := readUpload(context.Background(), r)
		resp.Status = 503
		return resp
	})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 100)
	_, resp = answerText(t, br)
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Close)
}

// Guards against a body that is read for up to bodyTimeout because it was interrupted just
// before or during its opening.
func TestInterruptBeforeOpen(t *testing.T) {
	is := is.New(t)
	c := startUploadServer(t, true, func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		r.Upload.Interrupt()
		resp := readUpload(context.Background(), r)
		resp.Status = 503
		return resp
	})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 100)
	resp, err = http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Close)
}

// Guards against requests that go on after their caller has left, because a long body
// was read: nobody receives the answer.
func TestCallerLeavesAfterLongBody(t *testing.T) {
	for _, forPeers := range []bool{false, true} {
		is := is.New(t)
		left := make(chan struct{})
		received := make(chan struct{})
		c := startUploadServer(t, forPeers, func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
			resp := readUpload(ctx, r)
			close(received)
			<-ctx.Done()
			close(left)
			return resp
		})
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(longBody)+"\r\n\r\n"+strings.Repeat("x", longBody))
		is.NoErr(err)
		<-received
		is.NoErr(c.Close())
		select {
		case <-left:
		case <-time.After(5 * time.Second):
			t.Fatal("the request goes on")
		}
	}
}
