package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// lateBackend is a backend that answers a release once the work on its keys has ended. It
// sends a share of its answers a second time, when the next response on the connection is
// expected.
type lateBackend struct {
	*backend
	extra float64
	// all are the backends of the service.
	all []*lateBackend

	// The embedded backend's mu guards the following fields. working counts the requests
	// in progress by key; promised is the end of the last hold of a key, released or not.
	working  [keyCount]int
	promised [keyCount]time.Time
	// atWork counts the grants of keys on which another backend was at work.
	atWork int
}

func newLateBackend(b *backend, extra float64) *lateBackend {
	late := &lateBackend{backend: b, extra: extra}
	b.serveConns = late.serveAll
	b.runs = func(key, change int) { late.working[key] += change }
	return late
}

// serveAll serves the listener.
func (b *lateBackend) serveAll() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveOne(conn)
	}
}

func (b *lateBackend) serveOne(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var second []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if second != nil {
			b.c.rec.event("backend %s sends an answer a second time; a call of %s is in progress", b.life, r.URL.Path)
		}
		if _, err := conn.Write(second); err != nil {
			return
		}
		answer := b.answer(r, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		second = nil
		if time.Since(b.c.rec.start)%spellInterval < spellLength && rand.Float64() < b.extra {
			second = answer
		}
	}
}

// answer handles a request and returns the bytes of the answer.
func (b *lateBackend) answer(r *http.Request, body []byte) []byte {
	w := httptest.NewRecorder()
	target := r.Header.Get("Target-Instance")
	switch {
	case r.URL.Path == "/-/release" && (target == "" || target == b.id):
		b.release(w, body)
	case r.URL.Path == "/-/grant" && (target == "" || target == b.id):
		b.grant(w, r, body)
	default:
		b.serve(w, r)
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	var buf bytes.Buffer
	_, _ = fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", w.Code, http.StatusText(w.Code), w.Body.Len())
	for name, values := range w.Header() {
		_, _ = fmt.Fprintf(&buf, "%s: %s\r\n", name, strings.Join(values, ", "))
	}
	buf.WriteString("\r\n")
	buf.Write(w.Body.Bytes())
	return buf.Bytes()
}

// release ends the hold of keys at once, and returns when no work on them is left.
func (b *lateBackend) release(w http.ResponseWriter, body []byte) {
	var call struct{ From, TargetVersion int }
	if json.Unmarshal(body, &call) != nil || call.From > call.TargetVersion || call.TargetVersion >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.c.rec.event("backend %s is to release keys %d-%d", b.life, call.From, call.TargetVersion)
	b.mu.Lock()
	for k := call.From; k <= call.TargetVersion; k++ {
		b.held[k] = hold{}
	}
	for b.worksOn(call.From, call.TargetVersion) {
		b.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		b.mu.Lock()
	}
	b.mu.Unlock()
	b.c.rec.event("backend %s has no work left on keys %d-%d", b.life, call.From, call.TargetVersion)
	w.Header().Set("Handover", fmt.Sprintf("%s-%d", b.id, call.From))
}

// worksOn reports whether a request on the keys is in progress. The caller holds mu.
func (b *lateBackend) worksOn(from, to int) bool {
	for k := from; k <= to; k++ {
		if b.working[k] > 0 {
			return true
		}
	}
	return false
}

// grant takes keys, and looks for other backends that are still at work on them.
func (b *lateBackend) grant(w *httptest.ResponseRecorder, r *http.Request, body []byte) {
	var call struct {
		From, TargetVersion int
		Fence               uint64
		HoldTime            string `json:"hold_time"`
	}
	arrived := time.Now()
	b.serve(w, r)
	if json.Unmarshal(body, &call) != nil || w.Code != http.StatusOK {
		return
	}
	d, _ := time.ParseDuration(call.HoldTime)
	b.mu.Lock()
	for k := call.From; k <= call.TargetVersion; k++ {
		b.promised[k] = arrived.Add(d)
	}
	b.mu.Unlock()
	for _, o := range b.all {
		if o != b {
			o.checkIdle(b, arrived, call.From, call.TargetVersion, call.Fence)
		}
	}
}

// checkIdle records that another backend has been given keys on which this one is at work,
// before its hold of them would have run out.
func (b *lateBackend) checkIdle(taker *lateBackend, arrived time.Time, from, to int, fence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := from; k <= to; k++ {
		if b.working[k] > 0 && arrived.Before(b.promised[k]) {
			b.atWork++
			b.c.rec.event("OWNER: backend %s is given key %d with fence %d; %s is at work on it, its hold would have run out %s later",
				taker.life, k, fence, b.life, b.promised[k].Sub(arrived).Round(time.Millisecond))
		}
	}
}
