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
	// releasePause lies between two announcements while keys are given back.
	releasePause = 50 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// idleTimeout is longer than the process beside the target keeps unused
	// connections.
	idleTimeout = 10 * time.Second
	// bodyRepeats is the number of times that an answer repeats its id.
	bodyRepeats = 64
)

// Body returns the body of the answer to a request.
func Body(id string) string { return strings.Repeat(id+"\n", bodyRepeats) }

// target is one life of the stand-in.
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
}

// Serve runs the target until SIGTERM; then it gives its keys back and ends.
func Serve(cfg Config) error {
	t := &target{cfg: cfg, incarnation: time.Now().UnixMilli(), client: &http.Client{Timeout: announceTimeout}, runLog: io.Discard}
	if cfg.RunLog != "" {
		f, err := os.OpenFile(cfg.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // each line was written whole
		t.runLog = f
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: idleTimeout}
	go func() { _ = server.Serve(l) }() // ends with the process
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	t.announceUntil(stop, func() bool { return false })
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	limit, end := context.WithTimeout(context.Background(), 10*cfg.Interval)
	defer end()
	t.announceUntil(limit, t.drained)
	t.post(fleetdaemon.PathLeave, map[string]string{"id": cfg.Name}, nil)
	return nil
}

func (t *target) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running == 0 && len(t.keys.heldRanges()) == 0 && len(t.keys.released) == 0
}

// announceUntil announces the target until ctx ends or done says so.
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

// announce reports the target's state once and takes the grant. It returns
// whether keys are still being given back.
func (t *target) announce() bool {
	t.mu.Lock()
	t.sequence++
	t.keys.expire(time.Now())
	t.keys.collectReleased()
	a := fleetdaemon.Announcement{
		ID: t.cfg.Name, Incarnation: t.incarnation, Service: t.cfg.Service, Address: t.cfg.Listen, Slots: t.cfg.Slots,
		Sequence: t.sequence, Draining: t.draining, Holds: t.keys.heldRanges(), Released: t.keys.released,
	}
	t.mu.Unlock()
	sent := time.Now()
	var reply fleetdaemon.AnnounceReply
	if !t.post(fleetdaemon.PathAnnounce, a, &reply) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys.released = nil
	if reply.HoldMs > 0 {
		t.keys.applyGrant(reply.Holds, sent.Add(time.Duration(reply.HoldMs)*time.Millisecond))
	}
	return t.keys.releasePending()
}

// post sends a call to the process beside the target. A call that fails is
// sent again by the next announcement.
func (t *target) post(path string, body, reply any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	resp, err := t.client.Post("http://"+t.cfg.Announce+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	if resp.StatusCode != http.StatusOK {
		return false
	}
	return reply == nil || json.NewDecoder(resp.Body).Decode(reply) == nil
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	names := relay.DefaultHeaderNames
	id := r.Header.Get(names.RequestID)
	key, keyErr := strconv.ParseUint(r.Header.Get(names.Key), 10, 16)
	run, status := t.begin(uint16(key), keyErr == nil)
	w.Header().Set(names.RequestID, id)
	if status != http.StatusOK {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(status)
		return
	}
	t.logRun(Run{ID: id, Key: run.key, Fence: run.fence, At: run.start.UnixNano()})
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(t.cfg.ServiceTime)))
	w.Header().Set(names.Signature, t.cfg.Name)
	if !t.end(run) {
		http.Error(w, fmt.Sprintf("the grant ended after %s", time.Since(run.start)), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, Body(id)) // the caller has gone
}

// activeRequest is a request that the target runs.
type activeRequest struct {
	key   uint16
	fence uint64 // 0 without keys
	start time.Time
}

// begin takes a slot and the key's fence, or returns why it cannot.
func (t *target) begin(key uint16, given bool) (activeRequest, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := activeRequest{key: key, start: time.Now()}
	switch {
	case t.running >= t.cfg.Slots:
		return run, http.StatusServiceUnavailable
	case t.cfg.Keys && (!given || !t.keys.begin(run.start, key)):
		return run, http.StatusMisdirectedRequest
	case t.cfg.Keys:
		run.fence = t.keys.fence[key]
	}
	t.running++
	return run, http.StatusOK
}

// end gives the slot back and reports whether the key was held all the time.
func (t *target) end(run activeRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	return !t.cfg.Keys || t.keys.end(time.Now(), run.key, run.fence)
}

// Run is one request that a target began, a line of the run log.
type Run struct {
	ID    string `json:"id"`
	Key   uint16 `json:"key"`
	Fence uint64 `json:"fence"`
	// At is the time at which the target saw that it holds the key, in
	// nanoseconds of the wall clock that all processes of the machine share.
	At int64 `json:"at"`
}

func (t *target) logRun(r Run) {
	line, err := json.Marshal(r)
	if err == nil {
		_, err = t.runLog.Write(append(line, '\n'))
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "rangetarget: run not recorded:", err) // the run goes on
	}
}
