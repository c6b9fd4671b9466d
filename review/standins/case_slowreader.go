package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// largeBytes is the longest answer of the site pds-quito-grown.
	largeBytes = 30000
	// receiveBuffer is the receive buffer of the slow client, in bytes. The system doubles
	// it.
	receiveBuffer = 4096
	// readPause is the time for which the slow client does not read.
	readPause = 2 * time.Second
	// slowRequests is the number of requests of the slow client.
	slowRequests = 6
	// cutOffAllowed is the number of requests whose kept connection may end without an
	// answer.
	cutOffAllowed = 3
)

// runSlowReader plays a client that reads slowly on a kept connection.
func runSlowReader(r *run) (broken bool, err error) {
	c, err := r.newCluster([]string{"zone-a", "zone-b", "zone-c"}, "heartbeat")
	if err != nil {
		return false, err
	}
	for i := range 5 {
		c.add(fmt.Sprintf("core-%d", i+1), c.zones[i%3], "", true)
	}
	var backends []*backend
	for i, zone := range c.zones {
		m := c.add(fmt.Sprintf("sidecar-%d", i+1), zone, "receipts", false)
		backends = append(backends, newBackend(c, m, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("i-%d", i+1), false, 20*time.Millisecond, 0))
	}
	if _, err := r.startDeployment(c, backends, "receipts", "safe", false); err != nil {
		return false, err
	}
	m := backends[0].m
	pause := readPause
	if !r.trouble {
		pause = 0
	}
	cutOff := 0
	for n := range slowRequests {
		ok, err := r.slowRequest(m, n, pause)
		if err != nil {
			return false, err
		}
		if !ok {
			cutOff++
		}
	}
	r.rec.event("LOST: %d of %d requests on kept connections ended without a complete answer, %d are allowed", cutOff, slowRequests, cutOffAllowed)
	return cutOff > cutOffAllowed, nil
}

// slowRequest sends a short request and, on the same connection, one with a long answer,
// of which it reads the first part, pauses and reads the rest. It reports whether the
// answer was complete.
func (r *run) slowRequest(m *machine, n int, pause time.Duration) (complete bool, err error) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", r.cluster.addr(m, portOutbound))
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 4096)
	short, err := r.exchange(conn, in, fmt.Sprintf("short-%d", n), 0)
	if err != nil || short == 0 {
		return false, fmt.Errorf("the first request of the connection failed: %d bytes, %v", short, err)
	}
	got, err := r.exchange(conn, in, fmt.Sprintf("large-%d", n), pause)
	return err == nil && got == largeBytes, nil
}

// exchange sends one request and reads its answer. It returns the number of bytes of the
// body that arrived.
func (r *run) exchange(conn net.Conn, in *bufio.Reader, id string, pause time.Duration) (int64, error) {
	sent := time.Now()
	_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", routePrefix, id, routeHost, id)
	if err != nil {
		return 0, err
	}
	r.rec.at(sent, "client sends request %s", id)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		r.rec.event("client gets no answer to %s: %v", id, err)
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.CopyN(io.Discard, resp.Body, min(resp.ContentLength, 4<<10))
	if err == nil && pause > 0 {
		r.rec.event("client has %d of %d bytes of the answer to %s (status %d) and pauses for %s", got, resp.ContentLength, id, resp.StatusCode, pause)
		time.Sleep(pause)
	}
	if err == nil {
		var rest int64
		rest, err = io.Copy(io.Discard, resp.Body)
		got += rest
	}
	r.rec.event("client has %d of %d bytes of the answer to %s (status %d) after %.1f s, error: %v", got, resp.ContentLength, id, resp.StatusCode, time.Since(sent).Seconds(), err)
	return got, err
}
