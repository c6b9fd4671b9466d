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

// target answers each connection by a script: one text per request.
func target(t *testing.T, script func(conn, request int) (answer string, hangUp bool)) *httpclient.Client {
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
		Address: l.Addr().String(), RequestIDHeader: "X-Id", DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20,
	})
}

func serve(c net.Conn, n int, script func(conn, request int) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for i := 0; ; i++ {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		answer, hangUp := script(n, i)
		if _, err := c.Write([]byte(answer)); err != nil || hangUp {
			return
		}
	}
}

func request(id string) *httpclient.Request {
	return &httpclient.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against an answer that belongs to an earlier request: a target may
// send a second answer late.
func TestLateSecondAnswer(t *testing.T) {
	is := is.New(t)
	c := target(t, func(_, request int) (string, bool) {
		if request == 0 {
			return answer("1", "one"), false
		}
		return answer("1", "old") + answer("2", "two"), false
	})
	for _, want := range []string{"one", "two"} {
		id := map[string]string{"one": "1", "two": "2"}[want]
		resp, err := c.Do(context.Background(), request(id))
		is.NoErr(err)
		is.Equal(string(resp.Body), want)
	}
}

// Guards against cut, spoiled or reset answers that are taken for whole, and
// against a claim that such a request did not run.
func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"short body":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
		"short chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no answer":     "",
		"not an answer": "garbage garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := target(t, func(int, int) (string, bool) { return text, true })
			_, err := c.Do(context.Background(), request("1"))
			var broken *httpclient.BrokenError
			is.True(errors.As(err, &broken))
		})
	}
}

// Guards against a connection that is used again although it holds bytes that
// belong to no request, or although the target closes it.
func TestConnectionNotReused(t *testing.T) {
	for name, text := range map[string]string{
		"bytes behind the answer": answer("", "ok") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"close":                   "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no idle time":            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := target(t, func(int, int) (string, bool) { return text, false })
			for range 2 {
				resp, err := c.Do(context.Background(), request("1"))
				is.NoErr(err)
				is.Equal(string(resp.Body), "ok")
			}
			is.Equal(c.ConnectionsOpened(), uint64(2))
		})
	}
}

// Guards against a repeat by the client itself: a target that closes without
// an answer may have run the request.
func TestNoHiddenRepeat(t *testing.T) {
	is := is.New(t)
	requests := make(chan struct{}, 10)
	c := target(t, func(_, request int) (string, bool) {
		requests <- struct{}{}
		if request == 0 {
			return answer("", "ok"), false
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
