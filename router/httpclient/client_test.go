package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/httpclient"
)

// startTarget starts a server that answers each request with the bytes that
// script returns, and returns a client for it.
func startTarget(t *testing.T, script func(conn, request int) (response string, closeConn bool)) *httpclient.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, n, script)
		}
	}()
	return httpclient.New(httpclient.Config{
		Address: l.Addr().String(), RequestIDHeader: "X-Id", DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20, UnreadHeader: "Unread",
	})
}

func serve(c net.Conn, n int, script func(conn, request int) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for i := 0; ; i++ {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		response, closeConn := script(n, i)
		if _, err := c.Write([]byte(response)); err != nil || closeConn {
			return
		}
	}
}

func request(id string) *httpclient.Request {
	return &httpclient.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against a response that is matched to the wrong request: a target may
// send a second response to an earlier request.
func TestLateSecondResponse(t *testing.T) {
	is := is.New(t)
	c := startTarget(t, func(_, request int) (string, bool) {
		if request == 0 {
			return response("1", "one"), false
		}
		return response("1", "old") + response("2", "two"), false
	})
	for _, want := range []string{"one", "two"} {
		id := map[string]string{"one": "1", "two": "2"}[want]
		resp, err := c.Do(context.Background(), request(id))
		is.NoErr(err)
		is.Equal(string(resp.Body), want)
	}
}

// Guards against the late copy of a rejection that is taken for the answer to the next try
// of the same request, or to a caller's repeat under the same id.
func TestLateCopyOfEarlierTry(t *testing.T) {
	is := is.New(t)
	c := startTarget(t, func(conn, request int) (string, bool) {
		if conn == 0 && request == 0 {
			return response("1", "no"), false
		}
		if conn == 0 {
			// The copy arrives when the answer to the second try is expected.
			return response("1", "no") + response("1", "ran"), false
		}
		return response("1", "ran"), false
	})
	for _, want := range []string{"no", "ran"} {
		resp, err := c.Do(context.Background(), request("1"))
		is.NoErr(err)
		is.Equal(string(resp.Body), want)
	}
	// Other requests still use the connections.
	resp, err := c.Do(context.Background(), request("1"))
	is.NoErr(err)
	is.Equal(string(resp.Body), "ran")
	is.Equal(c.ConnectionsOpened(), uint64(3))
}

// Guards against an answer without an id that is taken for the answer to a request, where
// it may be a late copy of another one, and against a request without an id that takes
// the late answer to another one.
func TestAnswersWithoutID(t *testing.T) {
	is := is.New(t)
	const plain = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	c := startTarget(t, func(conn, request int) (string, bool) {
		switch {
		case conn == 0 && request == 0:
			return response("1", "one"), false
		case conn == 0:
			return plain + response("2", "two"), false
		}
		return plain, false
	})
	resp, err := c.Do(context.Background(), request("1"))
	is.NoErr(err)
	is.Equal(string(resp.Body), "one")
	_, err = c.Do(context.Background(), request("2"))
	var incomplete *httpclient.IncompleteResponseError
	is.True(errors.As(err, &incomplete))
	// On connections of their own, such answers are the only ones that there can be.
	for range 2 {
		resp, err = c.Do(context.Background(), request("3"))
		is.NoErr(err)
		is.Equal(string(resp.Body), "old")
	}
	is.Equal(c.ConnectionsOpened(), uint64(3))

	c = startTarget(t, func(conn, request int) (string, bool) {
		if conn == 0 && request == 1 {
			return response("1", "one") + plain, false // a late copy
		}
		return response("1", "one"), false
	})
	_, err = c.Do(context.Background(), request("1"))
	is.NoErr(err)
	_, err = c.Do(context.Background(), &httpclient.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	is.NoErr(err)
	is.Equal(c.ConnectionsOpened(), uint64(2))
}

// Guards against truncated or malformed responses that are accepted, and against
// an error which says that such a request did not run.
func TestIncompleteResponses(t *testing.T) {
	for name, text := range map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
		"short chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no response":  "",
		"not HTTP":     "garbage garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startTarget(t, func(int, int) (string, bool) { return text, true })
			_, err := c.Do(context.Background(), request("1"))
			var incomplete *httpclient.IncompleteResponseError
			is.True(errors.As(err, &incomplete))
		})
	}
}

// Guards against the reuse of a connection on which unexpected bytes have arrived
// or which the target closes.
func TestConnectionNotReused(t *testing.T) {
	for name, text := range map[string]string{
		"bytes after the response": response("", "ok") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"close":                    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no idle time":             "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startTarget(t, func(int, int) (string, bool) { return text, false })
			for range 2 {
				resp, err := c.Do(context.Background(), request("1"))
				is.NoErr(err)
				is.Equal(string(resp.Body), "ok")
			}
			is.Equal(c.ConnectionsOpened(), uint64(2))
		})
	}
}

// Guards against a retry by the client itself: a target that closes the
// connection without a response may have run the request.
func TestNoAutomaticRetry(t *testing.T) {
	is := is.New(t)
	requests := make(chan struct{}, 10)
	c := startTarget(t, func(_, request int) (string, bool) {
		requests <- struct{}{}
		if request == 0 {
			return response("1", "ok"), false
		}
		return "", true
	})
	_, err := c.Do(context.Background(), request("1"))
	is.NoErr(err)
	_, err = c.Do(context.Background(), request("2"))
	is.True(err != nil)
	is.Equal(len(requests), 2)
}

// Guards against a refused connection that is reported as a request that may
// have run.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	c := httpclient.New(httpclient.Config{Address: l.Addr().String(), DialTimeout: 10 * time.Second})
	_, err = c.Do(context.Background(), request("1"))
	var unsent *httpclient.NotSentError
	is.True(errors.As(err, &unsent))
	is.True(unsent.Refused)
}

// Guards against a request that counts as one that may have run although the server says
// that it closed the connection before it read the request.
func TestServerClosesBeforeRequest(t *testing.T) {
	is := is.New(t)
	c := startTarget(t, func(int, int) (string, bool) {
		return "HTTP/1.1 503 Service Unavailable\r\nUnread: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true
	})
	_, err := c.Do(t.Context(), &httpclient.Request{Method: "GET", URI: "/", Host: "h", ID: "1"})
	var unsent *httpclient.NotSentError
	is.True(errors.As(err, &unsent))
}
