package rangetarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleyquay.example/router/fleetdaemon"
	"bramleyquay.example/router/relay"
)

const (
	// releasePause is the time between two announcements while keys are being
	// released.
	releasePause = 50 * time.Millisecond
	// announceTimeout bounds a call to the sidecar process.
	announceTimeout = time.Second
	// idleTimeout is longer than the 4 s for which the sidecar process keeps idle
	// connections to its target, so that the target does not close a connection that
	// is about to be used.
	idleTimeout = 10 * time.Second
	// bodyRepeats is how often the body of an answer repeats the request id, so that
	// a truncated or mixed-up answer is recognized.
	bodyRepeats = 64
)

// Body returns the body of the answer to the request with the given id.
func Body(id string) string { return strings.Repeat(id+"\n", bodyRepeats) }

// target is one incarnation of the stand-in target.
type target struct {
	cfg         Config
	incarnation int64
	client      *http.Client
	runLog      io.Writer

	mu       sync.Mutex
	keys     keyGrants
	running  int
	sequence uint64
	draining bool
	limit    namedLimit
	bad      badSpell
}

// Serve runs the target and blocks until SIGTERM. It then releases its keys and
// returns once they are released, or after 10 announcement intervals.
func Serve(cfg Config) error {
	t := &target{cfg: cfg, incarnation: time.Now().UnixMilli(), client: &http.Client{Timeout: announceTimeout}, runLog: io.Discard}
	if cfg.RunLog != "" {
		f, err := os.OpenFile(cfg.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // each line was written by one call
		t.runLog = f
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: idleTimeout}
	go func() { _ = server.Serve(copyingListener{l, cfg.LateCopies}) }() // ends with the process
	sigterm, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	t.announceUntil(sigterm, func() bool { return false })
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	limit, cancelLimit := context.WithTimeout(context.Background(), 10*cfg.Interval)
	defer cancelLimit()
	t.announceUntil(limit, t.drained)
	t.post(fleetdaemon.PathLeave, map[string]string{"id": cfg.Name}, nil)
	return nil
}

// drained reports whether no request runs and no key is granted or to be reported as
// released.
func (t *target) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running == 0 && len(t.keys.grantedRanges()) == 0 && len(t.keys.released) == 0
}

// announceUntil announces the target repeatedly until ctx ends or done returns true.
func (t *target) announceUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil {
		pause := t.cfg.Interval
		if t.announce() {
			pause = releasePause
		}
		if done() {
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// announce reports the target's state once and applies the grant in the reply. It
// returns whether keys are still being released.
func (t *target) announce() bool {
	t.mu.Lock()
	t.sequence++
	t.keys.expire(time.Now())
	a := fleetdaemon.Announcement{
		ID: t.cfg.Name, Incarnation: t.incarnation, Service: t.cfg.Service, Address: t.cfg.Listen, Slots: t.cfg.Slots,
		Sequence: t.sequence, Draining: t.draining,
	}
	if !t.cfg.GrantsByRequest {
		t.keys.collectReleased()
		a.Holds, a.Released = t.keys.grantedRanges(), t.keys.released
	}
	t.mu.Unlock()
	sent := time.Now()
	var reply fleetdaemon.AnnounceReply
	if !t.post(fleetdaemon.PathAnnounce, a, &reply) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cfg.GrantsByRequest {
		return false
	}
	t.keys.released = nil
	if reply.HoldMs > 0 {
		t.keys.applyGrant(reply.Holds, sent.Add(time.Duration(reply.HoldMs)*time.Millisecond))
	}
	return t.keys.releasePending()
}

// post calls the sidecar process and reports whether the call succeeded. There is no
// retry: the next announcement repeats the state, and a leave message follows
// announcements that the target is draining.
func (t *target) post(path string, body, reply any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	resp, err := t.client.Post("http://"+t.cfg.Announce+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // only read
	if resp.StatusCode != http.StatusOK {
		return false
	}
	return reply == nil || json.NewDecoder(resp.Body).Decode(reply) == nil
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	if t.serveCall(w, r) || t.serveLimit(w, r) || t.serveBad(w, r) {
		return
	}
	names := relay.DefaultHeaderNames
	id := r.Header.Get(names.RequestID)
	key, keyErr := strconv.ParseUint(r.Header.Get(names.Key), 10, 16)
	run, status := t.begin(uint16(key), keyErr == nil)
	w.Header().Set(names.RequestID, id)
	t.setNotices(w.Header())
	if status != http.StatusOK {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(status)
		return
	}
	t.logRun(Run{ID: id, Key: run.key, Fence: run.fence, At: run.start.UnixNano(), Limit: run.limit})
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(t.cfg.ServiceTime)))
	w.Header().Set(names.Signature, t.cfg.Name)
	if !t.end(run) {
		http.Error(w, fmt.Sprintf("the grant ended after %s", time.Since(run.start)), http.StatusInternalServerError)
		return
	}
	if run.fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, Body(id)) // fails if the caller closed the connection
}

// activeRequest is a request that the target is running.
type activeRequest struct {
	key   uint16
	fence uint64 // 0 if the service has no key ranges
	start time.Time
	limit float64 // that the target names, in requests per second
	fails bool    // the answer is 500
}

// begin takes a slot and returns the request with its key's fence, or an HTTP status
// other than 200 if the request cannot run. hasKey is false without a valid key.
func (t *target) begin(key uint16, hasKey bool) (activeRequest, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := activeRequest{key: key, start: time.Now()}
	run.limit, run.fails = t.limit.at(run.start), t.bad.hits(true)
	switch {
	case t.running >= t.cfg.Slots || t.bad.hits(false):
		return run, http.StatusServiceUnavailable
	case t.cfg.Keys && (!hasKey || !t.keys.begin(run.start, key)):
		return run, http.StatusMisdirectedRequest
	case t.cfg.Keys:
		run.fence = t.keys.fence[key]
	}
	t.running++
	return run, http.StatusOK
}

// end frees the slot and reports whether the key stayed granted while the request ran.
func (t *target) end(run activeRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	return !t.cfg.Keys || t.keys.end(time.Now(), run.key, run.fence)
}

// Run is one request that a target began: a line of the run log.
type Run struct {
	ID    string `json:"id"`
	Key   uint16 `json:"key"`
	Fence uint64 `json:"fence"`
	// At is the time at which the target checked that the key is granted, in
	// nanoseconds of the wall clock that all processes of the machine share.
	At int64 `json:"at"`
	// Limit is the number of requests per second that the target named as its limit
	// then, zero without one.
	Limit float64 `json:"limit,omitempty"`
}

// logRun appends a request to the run log.
func (t *target) logRun(r Run) {
	line, err := json.Marshal(r)
	if err == nil {
		_, err = t.runLog.Write(append(line, '\n'))
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "rangetarget: cannot write the run log:", err) // the request still runs
	}
}
