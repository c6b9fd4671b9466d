package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const keyCount = 1 << 16

// hold is a key that a backend holds, with its fencing token, until a time.
type hold struct {
	fence uint64
	until time.Time
}

// backend is one life of a stand-in backend. It speaks the protocol of the users' pages:
// it runs a request only under its own id, and on a divided service only while it holds
// the key.
type backend struct {
	c       *cluster
	m       *machine
	id      string
	born    int64
	life    string // for the record
	sharded bool
	work    time.Duration
	// keepAlive is the idle time-out that the answers state, zero for none.
	keepAlive time.Duration
	// raw backends serve raw connections, with faults.
	raw    bool
	faults faults
	// serveConns, if set, serves the listener instead. runs, if set, is told, with mu held,
	// of each request on a key that begins (1) or ends (-1).
	serveConns func()
	runs       func(key, change int)

	listener net.Listener
	server   *http.Server
	client   *http.Client
	up       atomic.Bool
	stop     chan struct{}
	stopped  sync.Once

	mu       sync.Mutex
	seq      int
	state    string
	held     [keyCount]hold
	highest  [keyCount]uint64
	releases []any // released rows that no acknowledged heartbeat has reported
	lastCall time.Time
	running  int
	// arrivals are the requests that it began, by time.
	arrivals []arrival
}

type arrival struct {
	at time.Time
	id string
}

func newBackend(c *cluster, m *machine, id, life string, sharded bool, work, keepAlive time.Duration) *backend {
	return &backend{
		c: c, m: m, id: id, life: life, born: time.Now().UnixMilli(), sharded: sharded, work: work, keepAlive: keepAlive, state: "ready",
		stop: make(chan struct{}), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// listen opens the address of the backend and serves it.
func (b *backend) listen() error {
	var err error
	for range 100 {
		if b.listener, err = net.Listen("tcp", b.c.addr(b.m, portApp)); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: b.keepAlive}
	b.up.Store(true)
	switch {
	case b.serveConns != nil:
		go b.serveConns()
	case b.raw:
		go b.serveFaulty(b.faults)
	default:
		go func() { _ = b.server.Serve(b.listener) }()
	}
	b.c.rec.event("backend %s starts (id %s, born %d)", b.life, b.id, b.born)
	return nil
}

// beat sends a heartbeat every interval, the first one after a delay.
func (b *backend) beat(delay time.Duration) {
	for {
		select {
		case <-time.After(delay):
		case <-b.stop:
			return
		}
		b.announce(0)
		delay = heartbeat
	}
}

// stopBeats ends the heartbeats. The backend goes on serving.
func (b *backend) stopBeats() { b.stopped.Do(func() { close(b.stop) }) }

// crash ends the backend without notice: all its connections are closed.
func (b *backend) crash() {
	b.c.rec.event("backend %s crashes", b.life)
	b.up.Store(false)
	b.stopBeats()
	_ = b.server.Close()
}

// announce sends one heartbeat, which is on its way for the given time, and applies the
// keys in the answer.
func (b *backend) announce(held time.Duration) {
	b.mu.Lock()
	b.seq++
	body := map[string]any{
		"address": b.c.addr(b.m, portApp), "born": b.born,
		"info":   map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": 12},
		"status": map[string]any{"state": b.state, "seq": b.seq, "coldRemaining": "0ms"},
	}
	seq, state := b.seq, b.state
	if b.sharded && b.c.grants == "heartbeat" {
		body["holds"], body["released"] = b.heldRows(time.Now()), append([]any{}, b.releases...)
	}
	b.mu.Unlock()
	sent := time.Now()
	if held > 0 {
		b.c.rec.event("backend %s sends a heartbeat (%s, seq %d) that is held up for %s", b.life, state, seq, held)
		time.Sleep(held)
		b.c.rec.event("the held up heartbeat of %s (seq %d) arrives", b.life, seq)
	}
	var reply struct {
		Holds    *[][4]any `json:"holds"`
		HoldTime string    `json:"hold_time"`
	}
	status := b.post("/-/instances/"+b.id+"/heartbeat", body, &reply)
	if held > 0 || status != http.StatusOK || time.Since(sent) > time.Second || !b.up.Load() {
		b.c.rec.event("heartbeat seq %d of %s gets %d", seq, b.life, status)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releases = nil
	if reply.Holds == nil {
		return
	}
	d, _ := time.ParseDuration(reply.HoldTime)
	b.applyHolds(*reply.Holds, sent.Add(d))
}

// applyHolds replaces what the backend holds. The caller holds mu.
func (b *backend) applyHolds(rows [][4]any, until time.Time) {
	var next [keyCount]uint64
	for _, row := range rows {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		for k := from; k <= to; k++ {
			next[k] = fence
		}
	}
	now := time.Now()
	var from = -1
	for k := 0; k <= keyCount; k++ {
		dropped := k < keyCount && next[k] == 0 && b.held[k].fence != 0 && now.Before(b.held[k].until)
		switch {
		case dropped && from < 0:
			from = k
		case !dropped && from >= 0:
			b.releases = append(b.releases, []any{from, k - 1, fmt.Sprintf("%s-%d-%d", b.id, from, b.seq)})
			from = -1
		}
	}
	for k := range next {
		switch {
		case next[k] >= b.highest[k] && next[k] > 0:
			b.held[k], b.highest[k] = hold{next[k], until}, next[k]
		case next[k] == 0:
			b.held[k] = hold{}
		}
	}
}

// heldRows returns the held keys as rows of first key, last key and fence. The caller
// holds mu.
func (b *backend) heldRows(now time.Time) []any {
	rows := []any{}
	from := -1
	for k := 0; k <= keyCount; k++ {
		var fence uint64
		if k < keyCount && now.Before(b.held[k].until) {
			fence = b.held[k].fence
		}
		if from >= 0 && (k == keyCount || fence != b.held[from].fence) {
			rows = append(rows, []any{from, k - 1, b.held[from].fence})
			from = -1
		}
		if from < 0 && fence != 0 {
			from = k
		}
	}
	return rows
}

// deregister sends the call with which a backend leaves and returns the status.
func (b *backend) deregister() int {
	b.c.rec.event("backend %s sends deregister", b.life)
	status := b.post("/-/instances/"+b.id+"/deregister", map[string]any{"born": b.born}, nil)
	b.c.rec.event("deregister of %s gets %d", b.life, status)
	return status
}

func (b *backend) post(path string, body, reply any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	resp, err := b.client.Post("http://"+b.c.addr(b.m, portControl)+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if reply != nil && json.NewDecoder(resp.Body).Decode(reply) != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil || !b.up.Load() {
		return
	}
	if b.keepAlive > 0 {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(b.keepAlive.Seconds())))
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/grant", "/-/release":
		b.serveKeys(w, r.URL.Path == "/-/grant", body, arrived)
		return
	case "/health":
		w.Header().Set("Instance-Id", b.id)
		return
	}
	b.serveRequest(w, r, arrived)
}

// serveKeys serves a grant or a release.
func (b *backend) serveKeys(w http.ResponseWriter, grant bool, body []byte, arrived time.Time) {
	var call struct {
		From     int    `json:"from"`
		To       int    `json:"targetVersion"`
		Fence    uint64 `json:"fence"`
		HoldTime string `json:"hold_time"`
	}
	if json.Unmarshal(body, &call) != nil || call.From > call.To || call.To >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastCall = arrived
	if !grant {
		for k := call.From; k <= call.To; k++ {
			b.held[k] = hold{}
		}
		b.c.rec.event("backend %s releases keys %d-%d", b.life, call.From, call.To)
		w.Header().Set("Handover", fmt.Sprintf("%s-%d-%d", b.id, call.From, b.seq))
		return
	}
	for k := call.From; k <= call.To; k++ {
		if call.Fence < b.highest[k] {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	d, _ := time.ParseDuration(call.HoldTime)
	news := b.held[call.From].fence != call.Fence || !arrived.Before(b.held[call.From].until)
	for k := call.From; k <= call.To; k++ {
		b.held[k], b.highest[k] = hold{call.Fence, arrived.Add(d)}, call.Fence
	}
	if news {
		b.c.rec.event("backend %s takes keys %d-%d with fence %d for %s", b.life, call.From, call.To, call.Fence, call.HoldTime)
	}
}

// serveRequest runs a client's request.
func (b *backend) serveRequest(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	b.mu.Lock()
	if b.sharded && !arrived.Before(b.held[key].until) {
		b.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.arrivals = append(b.arrivals, arrival{arrived, id})
	b.running++
	if b.runs != nil {
		b.runs(key, 1)
	}
	b.mu.Unlock()
	b.c.rec.at(arrived, "backend %s runs request %s", b.life, id)
	time.Sleep(b.work)
	b.mu.Lock()
	b.running--
	if b.runs != nil {
		b.runs(key, -1)
	}
	b.mu.Unlock()
	if !b.up.Load() {
		return
	}
	w.Header().Set("Response-Signature", "sig-"+id)
	if strings.HasPrefix(id, "large-") {
		_, _ = w.Write(make([]byte, largeBytes))
		return
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

// arrivedAfter returns the requests that the backend began after a time.
func (b *backend) arrivedAfter(t time.Time) []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []arrival
	for _, a := range b.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// anyKey returns a key that the backend holds, or zero.
func (b *backend) anyKey() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for k := 1; k < keyCount; k++ {
		if b.held[k].fence != 0 && now.Before(b.held[k].until) {
			return k
		}
	}
	return 0
}

// awaitQuiet waits, for ten seconds at most, for a moment in which the backend runs no
// request and got its last call for keys between least and most ago.
func (b *backend) awaitQuiet(least, most time.Duration) {
	for range 2000 {
		b.mu.Lock()
		since := time.Since(b.lastCall)
		quiet := b.running == 0 && since >= least && since <= most
		b.mu.Unlock()
		if quiet {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
