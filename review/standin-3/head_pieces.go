package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["head-pieces"] = headPieces }

const (
	// usualUploads is the number of clients that upload at a time, burstFactor by how much
	// it grows in a burst.
	usualUploads = 240
	burstFactor  = 2.5
	burstLength  = 7 * time.Second
	bursts       = 3
	calmLength   = 4 * time.Second
	uploadBytes  = 45 << 10
	headClients  = 40
)

// headPieces sends requests whose heads arrive in three pieces to a machine to which many
// clients upload over slow links at the same time. The rule UNASKED must hold: a backend
// runs only what a client sent, with its method, path, query and body. The trouble is a
// burst of uploads.
func headPieces(rec *recorder, dir string, trouble bool) (verdict, error) {
	c, err := newCluster(rec, dir, 3, []string{"orders", "orders", "orders"}, []string{"zone-a", "zone-b", "zone-c"})
	if err != nil {
		return verdict{}, err
	}
	c.memoryMB = 184
	s := &scene{c: c, stop: make(chan struct{})}
	defer s.end()
	if err := c.startAll(); err != nil {
		return verdict{}, err
	}
	kinds := []route{{name: "r-orders", host: host, prefix: prefix, kind: "unsafe", service: "orders", timeout: 6 * time.Second}}
	if err := c.configure(kinds, nil); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	for i, m := range c.sidecars {
		b := newBackend(c, m, fmt.Sprintf("i-0000000%d", i+1), 50*time.Millisecond, false)
		b.slots = 18
		if err := b.start(0); err != nil {
			return verdict{}, err
		}
		s.backends = append(s.backends, b)
	}
	time.Sleep(3 * time.Second)
	p := &pieces{c: c, at: c.sidecars[0].at(c.ports.outbound), sent: map[string]sentRequest{}, answers: map[string]int{}}
	stop := make(chan struct{})
	p.run(usualUploads, p.upload, stop)
	time.Sleep(4 * time.Second)
	p.run(headClients, p.sendInPieces, stop)
	for range bursts {
		end := make(chan struct{})
		if trouble {
			rec.add("burst begins")
			p.run(int((burstFactor-1)*usualUploads), p.upload, end)
		}
		time.Sleep(burstLength)
		close(end)
		rec.add("burst ends")
		time.Sleep(calmLength)
	}
	close(stop)
	p.wait.Wait()
	return p.judge(s.backends), nil
}

// pieces are clients of one machine.
type pieces struct {
	c    *cluster
	at   string
	wait sync.WaitGroup

	mu      sync.Mutex
	sent    map[string]sentRequest
	answers map[string]int
}

// sentRequest is what a client sent under an id.
type sentRequest struct {
	call string
	sum  uint32
}

// run starts clients that repeat f until stop is closed.
func (p *pieces) run(clients int, f func(stop <-chan struct{}), stop <-chan struct{}) {
	for range clients {
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			for !isClosed(stop) {
				f(stop)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// head returns the head of a new request, and records what is sent.
func (p *pieces) head(path string, body []byte, fields int) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	lines := []string{"Deadline-Ms: 6000", "Content-Length: " + strconv.Itoa(len(body))}
	for i := range fields {
		lines = append(lines, fmt.Sprintf("X-Field-%d: %s", i, strings.Repeat("v", 10+rand.IntN(30))))
	}
	rand.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	p.mu.Lock()
	p.sent[id] = sentRequest{call: "POST " + path, sum: crc32.ChecksumIEEE(body)}
	p.mu.Unlock()
	p.c.rec.add("sent", "request", id, "call", "POST "+path, "bytes", len(body), "sum", crc32.ChecksumIEEE(body))
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func (p *pieces) dial() (net.Conn, bool) {
	conn, err := net.DialTimeout("tcp", p.at, time.Second)
	if err != nil {
		return nil, false
	}
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	return conn, true
}

// upload sends a request whose body takes 4 s.
func (p *pieces) upload(stop <-chan struct{}) {
	time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
	conn, ok := p.dial()
	if !ok {
		return
	}
	defer func() { _ = conn.Close() }()
	body := make([]byte, uploadBytes)
	if _, err := io.WriteString(conn, p.head(prefix+"photo", body, 3)); err != nil {
		return
	}
	for part := range slices.Chunk(body, len(body)/40) {
		if _, err := conn.Write(part); err != nil || isClosed(stop) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.answer(conn)
}

// sendInPieces sends a request whose head arrives in three pieces, 20 ms after one another.
func (p *pieces) sendInPieces(<-chan struct{}) {
	conn, ok := p.dial()
	if !ok {
		return
	}
	defer func() { _ = conn.Close() }()
	body := []byte(strings.Repeat("order ", 1+rand.IntN(50)))
	head := p.head(fmt.Sprintf("%s%d?sum=%d", prefix, rand.IntN(1000), rand.IntN(1000)), body, 110)
	first, second := 1+rand.IntN(len(head)-1), 1+rand.IntN(len(head)-1)
	first, second = min(first, second), max(first, second)
	for _, piece := range []string{head[:first], head[first:second], head[second:] + string(body)} {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.answer(conn)
}

func (p *pieces) answer(conn net.Conn) {
	status, id := "none", ""
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status, id = strconv.Itoa(resp.StatusCode), resp.Header.Get("Request-Id")
	}
	p.c.rec.add("answered", "request", id, "status", status)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[status]++
}

// judge compares what backends ran with what was sent.
func (p *pieces) judge(backends []*backend) verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	ran, changed, unsent := 0, 0, 0
	for _, b := range backends {
		runs, _ := b.history()
		for _, r := range runs {
			ran++
			sent, ok := p.sent[r.id]
			switch {
			case !ok:
				unsent++
				p.c.rec.add("run of a request that was not sent", "request", r.id, "call", r.call)
			case sent.call != r.call || sent.sum != r.sum:
				changed++
				p.c.rec.add("run of a changed request", "request", r.id, "sent", sent.call, "sum", sent.sum, "ran", r.call, "sum", r.sum)
			}
		}
	}
	seen := fmt.Sprintf("%d requests were sent and %d ran; %d ran with another path, query or body than was sent, %d were not sent by any client; answers: %v", len(p.sent), ran, changed, unsent, p.answers)
	return verdict{broken: changed+unsent > 0, seen: seen}
}
