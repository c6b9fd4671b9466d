package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// faults are those of a faulty backend.
type faults struct {
	// shed is the share of the requests that it rejects, extra the share of its answers
	// that it sends a second time, extraDelay later.
	shed, extra float64
	extraDelay  time.Duration
	// endless is the share of the requests that it answers with bytes without end.
	endless float64
}

// A backend is faulty in spells of spellLength, one each spellInterval: the site files have
// such faults for 5 s or a little longer.
const (
	spellLength   = 5 * time.Second
	spellInterval = 8 * time.Second
)

// at returns the faults at a time: none between two spells.
func (f faults) at(sinceStart time.Duration) faults {
	if sinceStart%spellInterval >= spellLength {
		return faults{}
	}
	return f
}

// serveFaulty serves the requests of clients on raw connections, because net/http sends
// no second answers. The backend's keys come with the answers to its heartbeats.
func (b *backend) serveFaulty(f faults) {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn, f)
	}
}

func (b *backend) serveConn(conn net.Conn, f faults) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var mu sync.Mutex
	write := func(data []byte) error {
		mu.Lock()
		defer mu.Unlock()
		_, err := conn.Write(data)
		return err
	}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		arrived := time.Now()
		f := f.at(arrived.Sub(b.c.rec.start))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if rand.Float64() < f.endless {
			b.sendEndless(conn, r.Header.Get("Request-Id"))
			return
		}
		answer := b.faultyAnswer(r, arrived, f)
		if write(answer) != nil {
			return
		}
		if rand.Float64() < f.extra {
			id := r.Header.Get("Request-Id")
			time.AfterFunc(f.extraDelay, func() {
				b.c.rec.event("backend %s sends its answer to %s a second time", b.life, id)
				_ = write(answer)
			})
		}
	}
}

// faultyAnswer runs or rejects a request and returns the bytes of the answer.
func (b *backend) faultyAnswer(r *http.Request, arrived time.Time, f faults) []byte {
	id := r.Header.Get("Request-Id")
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	status, notExecuted := 0, true
	b.mu.Lock()
	switch {
	case r.Header.Get("Target-Instance") != b.id, b.sharded && !arrived.Before(b.held[key].until):
		status = http.StatusMisdirectedRequest
	case rand.Float64() < f.shed:
		status = http.StatusServiceUnavailable
	default:
		status, notExecuted = http.StatusOK, false
		b.arrivals = append(b.arrivals, arrival{arrived, id})
	}
	b.mu.Unlock()
	var buf bytes.Buffer
	body := ""
	if notExecuted {
		b.c.rec.at(arrived, "backend %s rejects request %s with %d, Not-Executed", b.life, id, status)
	} else {
		b.c.rec.at(arrived, "backend %s runs request %s", b.life, id)
		time.Sleep(b.work)
		body = "answer to " + id
	}
	_, _ = fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), id, len(body))
	if notExecuted {
		buf.WriteString("Not-Executed: 1\r\n")
	} else {
		_, _ = fmt.Fprintf(&buf, "Response-Signature: sig-%s\r\n", id)
	}
	buf.WriteString("\r\n" + body)
	return buf.Bytes()
}

// sendEndless sends an answer without length and end, until the caller closes the
// connection.
func (b *backend) sendEndless(conn net.Conn, id string) {
	b.c.rec.event("backend %s answers %s with bytes without end", b.life, id)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", id); err != nil {
		return
	}
	part, total := make([]byte, 64<<10), 0
	for {
		n, err := conn.Write(part)
		total += n
		if err != nil {
			break
		}
	}
	b.c.rec.event("the caller of %s closed the connection after %d bytes", id, total)
}
