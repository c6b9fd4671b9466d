package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/router/httpserver"
)

// busyGate refuses all requests without their bodies and reports the bytes that it
// got after each head.
func busyGate(t *testing.T) (address string, bodyBytes <-chan int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan int64, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		hop := hopValues(refused(dispatch.ReasonNoFreeSlot, time.Second))[0]
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nBq-Hop: "+hop+"\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, _ := io.Copy(io.Discard, in) // ends at the deadline or at the close
		got <- n
	}()
	return l.Addr().String(), got
}

// TestBodyOfTryWithoutWaiting guards against bodies that are sent to busy targets,
// one after the other, only to be refused: they fill the links.
func TestBodyOfTryWithoutWaiting(t *testing.T) {
	for noWait, want := range map[bool]int64{true: 0, false: 4000} {
		is := is.New(t)
		address, bodyBytes := busyGate(t)
		p := newPeers(DefaultHeaderNames, func(string) string { return address })
		req := &routedRequest{request: &httpserver.Request{Method: "POST", URI: "/", Host: "h", Body: make([]byte, 4000)}, header: http.Header{}, noWait: noWait}
		r := p.do(t.Context(), "p", req)
		is.Equal(r.reason, dispatch.ReasonNoFreeSlot)
		is.Equal(r.outcome, notRun)
		is.Equal(<-bodyBytes, want)
	}
}

// TestBodyForBusyTarget guards against receiving the body of a try without waiting
// that finds no free slot.
func TestBodyForBusyTarget(t *testing.T) {
	is := is.New(t)
	g := &Gate{queue: newBlockingQueue(1), transfers: newBlockingQueue(maxTransfers)}
	now := time.Now()
	req := &routedRequest{
		request: &httpserver.Request{Received: now, Upload: &httpserver.Upload{Length: 4000}},
		noWait:  true, objective: now.Add(time.Second), deadline: now.Add(2 * time.Second),
	}
	_, a := g.queue.acquire(t.Context(), req, targetLimits{slots: 1})
	is.True(a.Start)
	r, ok := g.receiveBody(t.Context(), req)
	is.True(!ok)
	is.Equal(r.reason, dispatch.ReasonNoFreeSlot)
	is.True(r.retryAfter > 0)
	is.True(!req.isConsumed())
}
