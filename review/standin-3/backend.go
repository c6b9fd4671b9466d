package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// grantRow is a key range that a backend holds.
type grantRow struct {
	from, to uint16
	fence    uint64
	// leaving rows take no new work: they were left out of a grant.
	leaving bool
}

// run is a request that a backend has begun.
type run struct {
	at   time.Time
	id   string
	key  int // -1 without a key
	cold bool
	// call and sum are the request line and the checksum of the body.
	call string
	sum  uint32
}

// span is a time in which a backend held a range.
type span struct {
	backend  string
	from, to uint16
	fence    uint64
	begin    time.Time
	end      time.Time // zero while it lasts
}

// backend is a stand-in of a backend, as PROTOCOL.md describes it. It runs in this process
// and speaks HTTP at the address of its machine.
type backend struct {
	c       *cluster
	m       *machine
	work    time.Duration
	slots   int
	sharded bool
	// late is by how much heartbeats arrive late.
	late func() time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	up       bool
	draining bool
	cold     time.Time
	rows     []grantRow
	expires  time.Time
	busy     map[uint16]int
	released []grantRow
	running  int
	runs     []run
	spans    []span
	server   *http.Server
	stop     chan struct{}
	wake     chan struct{}
}

func newBackend(c *cluster, m *machine, id string, work time.Duration, sharded bool) *backend {
	return &backend{c: c, m: m, id: id, work: work, slots: 6, sharded: sharded, busy: map[uint16]int{},
		late: func() time.Duration { return 0 }}
}

// start begins a new life of the backend, which is cold for the given time.
func (b *backend) start(cold time.Duration) error {
	l, err := net.Listen("tcp", b.m.at(b.c.ports.app))
	if err != nil {
		return cannotRun("%v", err)
	}
	b.mu.Lock()
	b.born, b.seq, b.up, b.rows, b.released, b.busy, b.running = time.Now().UnixMilli(), 0, true, nil, nil, map[uint16]int{}, 0
	b.cold = time.Now().Add(cold)
	b.stop, b.wake = make(chan struct{}), make(chan struct{}, 1)
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	server, stop, wake := b.server, b.stop, b.wake
	b.mu.Unlock()
	b.c.rec.add("backend starts", "id", b.id, "machine", b.m.name, "zone", b.m.zone, "service", b.m.service, "cold", cold)
	go func() { _ = server.Serve(l) }()
	go b.beat(stop, wake)
	return nil
}

// crash ends the backend's life: its connections are closed, and it sends nothing more.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return
	}
	b.up = false
	close(b.stop)
	_ = b.server.Close()
	b.setRows(nil)
	b.c.rec.add("backend crashes", "id", b.id)
}

// beat sends heartbeats until stop is closed.
func (b *backend) beat(stop, wake chan struct{}) {
	timer := time.NewTimer(0)
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
		case <-wake:
		}
		body, released, born := b.heartbeat()
		sent, late := time.Now(), b.late()
		url := "http://" + b.m.at(b.c.ports.control) + "/-/instances/" + b.id + "/heartbeat"
		deliver := func() {
			b.c.rec.add("heartbeat", "id", b.id, "late", late, "body", string(body))
			time.Sleep(late)
			answer, ok := post(url, body)
			b.c.rec.add("heartbeat answered", "id", b.id, "after", time.Since(sent), "acknowledged", ok, "body", strings.TrimSpace(string(answer)))
			if !ok || time.Since(sent) > time.Second {
				return // the backend takes no answer after a second
			}
			b.take(answer, sent, born, released)
		}
		next := sent.Add(b.c.heartbeat)
		if late > 0 {
			go deliver()
		} else {
			deliver()
		}
		if b.mustRelease() {
			next = time.Now().Add(100 * time.Millisecond)
		}
		timer.Reset(time.Until(next))
	}
}

var heartbeatClient = &http.Client{Timeout: time.Second}

// post sends a heartbeat and returns the answer, if its status is 2xx.
func post(url string, body []byte) ([]byte, bool) {
	resp, err := heartbeatClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return answer, err == nil && resp.StatusCode/100 == 2
}

// heartbeat returns the body of the next heartbeat, the rows that it reports as released,
// and the start of the life that sends it.
func (b *backend) heartbeat() ([]byte, int, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	b.seq++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	holds, released := []any{}, []any{}
	for _, r := range b.rows {
		holds = append(holds, []any{r.from, r.to, r.fence})
	}
	for _, r := range b.released {
		released = append(released, []any{r.from, r.to, fmt.Sprintf("%016x", r.fence)})
	}
	body, _ := json.Marshal(map[string]any{
		"address": b.m.at(b.c.ports.app), "born": b.born,
		"info":   map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "seq": b.seq, "coldRemaining": ms(max(time.Until(b.cold), 0))},
		"holds":  holds, "released": released,
	})
	return body, len(b.released), b.born
}

// take applies the answer to a heartbeat that was sent at a time.
func (b *backend) take(answer []byte, sent time.Time, born int64, reported int) {
	var a struct {
		Holds    *[][]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	if json.Unmarshal(answer, &a) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up || b.born != born {
		return
	}
	b.released = b.released[min(reported, len(b.released)):]
	hold, err := time.ParseDuration(a.HoldTime)
	if a.Holds == nil || err != nil {
		return
	}
	var next []grantRow
	for _, row := range *a.Holds {
		if r, ok := parseRow(row); ok {
			next = append(next, r)
		}
	}
	b.setRows(append(next, b.leftOut(next)...))
	b.expires = sent.Add(hold)
}

// parseRow parses [from, to, fence, handover].
func parseRow(row []any) (grantRow, bool) {
	if len(row) < 3 {
		return grantRow{}, false
	}
	var n [3]float64
	for i := range n {
		v, ok := row[i].(float64)
		if !ok {
			return grantRow{}, false
		}
		n[i] = v
	}
	return grantRow{from: uint16(n[0]), to: uint16(n[1]), fence: uint64(n[2])}, true
}

// leftOut releases the parts of the held rows that next leaves out, and returns those on
// which work goes on. They take no new work. The caller holds mu.
func (b *backend) leftOut(next []grantRow) []grantRow {
	var parts, busy []grantRow
	for _, r := range b.rows {
		parts = append(parts, r.without(next)...)
	}
	for _, p := range parts {
		if p.leaving = true; b.isBusy(p) {
			busy = append(busy, p)
		} else {
			b.released = append(b.released, p)
		}
	}
	return busy
}

// without returns the parts of r that no row of next with the same fence covers.
func (r grantRow) without(next []grantRow) []grantRow {
	var out []grantRow
	from := int(r.from)
	for key := int(r.from); key <= int(r.to)+1; key++ {
		covered := key > int(r.to)
		for _, n := range next {
			covered = covered || n.fence == r.fence && int(n.from) <= key && key <= int(n.to)
		}
		if !covered {
			continue
		}
		if key > from {
			out = append(out, grantRow{from: uint16(from), to: uint16(key - 1), fence: r.fence})
		}
		from = key + 1
	}
	return out
}

func (b *backend) isBusy(r grantRow) bool {
	for key, n := range b.busy {
		if n > 0 && r.from <= key && key <= r.to {
			return true
		}
	}
	return false
}

// setRows replaces the held rows and records from when to when each is held. The caller
// holds mu.
func (b *backend) setRows(rows []grantRow) {
	now := time.Now()
	open := map[grantRow]bool{}
	for _, r := range rows {
		r.leaving = false
		open[r] = true
	}
	for i := range b.spans {
		s := &b.spans[i]
		if r := (grantRow{from: s.from, to: s.to, fence: s.fence}); s.end.IsZero() && open[r] {
			delete(open, r)
		} else if s.end.IsZero() {
			s.end = now
		}
	}
	for r := range open {
		b.spans = append(b.spans, span{backend: b.id, from: r.from, to: r.to, fence: r.fence, begin: now})
	}
	if len(b.rows) != len(rows) {
		b.c.rec.add("backend holds", "id", b.id, "rows", len(rows), "before", len(b.rows))
	}
	b.rows = rows
}

// expire ends the hold of all rows once it has run out. The caller holds mu.
func (b *backend) expire() {
	if len(b.rows) > 0 && time.Now().After(b.expires) {
		b.setRows(nil)
	}
}

// mustRelease reports whether a further heartbeat is due soon.
func (b *backend) mustRelease() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.rows {
		if r.leaving {
			return true
		}
	}
	return len(b.released) > 0
}

// serve runs a request as a backend does.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		b.health(w)
		return
	}
	sum := crc32.NewIEEE()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return // the body is not complete
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	key, work, status := b.begin(r, id, sum.Sum32())
	if status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	deadline := time.Now().Add(time.Minute)
	if n, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(n * float64(time.Millisecond)))
	}
	select {
	case <-time.After(min(work, time.Until(deadline))):
	case <-r.Context().Done():
	}
	b.finish(key)
	w.Header().Set("Response-Signature", "s."+id)
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,0,%d", b.load(), b.slots))
	if time.Now().After(deadline) {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		w.Header().Set("Content-Length", strconv.Itoa(n))
		for part := make([]byte, 32<<10); n > 0 && err == nil; n -= len(part) {
			_, err = w.Write(part[:min(n, len(part))])
		}
		return
	}
	_, _ = io.WriteString(w, "body of "+id+" by "+b.id)
}

func (b *backend) health(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Cold-Ms", strconv.FormatInt(max(time.Until(b.cold), 0).Milliseconds(), 10))
}

// begin decides whether a request runs. Otherwise it returns the status of the rejection.
func (b *backend) begin(r *http.Request, id string, sum uint32) (key int, work time.Duration, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	if t := r.Header.Get("Target-Instance"); t != "" && t != b.id {
		return 0, 0, http.StatusMisdirectedRequest
	}
	key = -1
	if b.sharded {
		n, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || !b.holds(uint16(n)) {
			return 0, 0, http.StatusMisdirectedRequest
		}
		key = n
	}
	if b.running >= 4*b.slots {
		return 0, 0, http.StatusServiceUnavailable
	}
	b.running++
	if key >= 0 {
		b.busy[uint16(key)]++
	}
	cold := time.Now().Before(b.cold)
	b.runs = append(b.runs, run{at: time.Now(), id: id, key: key, cold: cold, call: r.Method + " " + r.RequestURI, sum: sum})
	b.c.rec.add("run", "request", id, "backend", b.id, "key", key, "cold", cold, "call", r.Method+" "+r.RequestURI, "sum", sum)
	work = b.work
	if cold {
		work *= 2
	}
	return key, work, 0
}

func (b *backend) holds(key uint16) bool {
	for _, r := range b.rows {
		if r.from <= key && key <= r.to && !r.leaving {
			return true
		}
	}
	return false
}

func (b *backend) finish(key int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if key >= 0 {
		b.busy[uint16(key)]--
	}
}

func (b *backend) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// heldKeys returns the number of keys that the backend holds now.
func (b *backend) heldKeys() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	n := 0
	for _, r := range b.rows {
		n += int(r.to) - int(r.from) + 1
	}
	return n
}

// history returns copies of the runs and of the times in which the backend held ranges.
func (b *backend) history() ([]run, []span) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	return append([]run{}, b.runs...), append([]span{}, b.spans...)
}

// watch ends holds that have run out, so that their end is recorded in time.
func (b *backend) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		b.mu.Lock()
		b.expire()
		b.mu.Unlock()
	}
}
