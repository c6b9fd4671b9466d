package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramleyquay.example/router/call"
	"bramleyquay.example/router/gate"
)

// Target is a running stand-in.
type Target struct {
	cfg            Config
	started        time.Time
	runLog         *os.File
	intervalLog    *os.File
	running        atomic.Int64
	highestRunning atomic.Int64
	slowFactor     atomic.Int64 // factor of the service time, 0 stands for 1

	mu         sync.Mutex
	grantUntil time.Time
	epochs     map[string]uint64
	served     int
	overSlots  int
	refused    int
}

// Stats is what a stand-in reports at /standin/stats.
type Stats struct {
	Served    int   `json:"served"`
	OverSlots int   `json:"overSlots"`
	Refused   int   `json:"refused"`
	Highest   int64 `json:"highestConcurrency"`
}

const (
	announceInterval = 200 * time.Millisecond
	announceTimeout  = time.Second
	// maxSlots is the buffer for bodies that are echoed.
	maxBodyBytes = 1 << 20
)

// Run serves until SIGTERM.
func Run(cfg Config) error {
	t := &Target{cfg: cfg, started: time.Now(), epochs: map[string]uint64{}}
	var err error
	if t.runLog, err = openLog(cfg.RunLog); err != nil {
		return err
	}
	if t.intervalLog, err = openLog(cfg.IntervalLog); err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: 5 * time.Second}
	go t.announce(l.Addr().String())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		_ = server.Close() // the stand-in ends
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// openLog opens a file for appending; nil without a name.
func openLog(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+gate.GrantPath, t.grant)
	mux.HandleFunc("GET /standin/stats", t.stats)
	mux.HandleFunc("POST /standin/slow", t.setSlow)
	mux.HandleFunc("GET /large", serveLarge)
	mux.HandleFunc("GET /broken", serveBroken)
	mux.HandleFunc("/", t.serve)
	return mux
}

// announce tells the process beside the target about it, again and again,
// because that process may restart.
func (t *Target) announce(addr string) {
	body, err := json.Marshal(gate.Announcement{
		Service: t.cfg.Service, Address: addr, Slots: t.cfg.Slots, ChecksFences: t.cfg.ChecksFences,
		Incarnation: rand.Uint64()>>12 | 1, // exact as a JSON number
	})
	if err != nil {
		return
	}
	client := &http.Client{Timeout: announceTimeout}
	for ; ; time.Sleep(announceInterval) {
		resp, err := client.Post("http://"+t.cfg.Platform+"/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close() // only the arrival counts
		}
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if !t.allowed(r) {
		w.Header().Set(call.HeaderOutcome, "not-run")
		http.Error(w, "outside of the grant or of an older epoch", http.StatusConflict)
		return
	}
	if deadlinePassed(r) {
		w.Header().Set(call.HeaderOutcome, "not-run")
		http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
		return
	}
	begin := time.Now()
	defer func() { t.logInterval(r, begin) }()
	n := t.running.Add(1)
	defer t.running.Add(-1)
	t.countRequest(n)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if key := r.Header.Get(call.HeaderIdempotencyKey); key != "" && r.Method != http.MethodGet {
		t.logRun(key, r)
	}
	time.Sleep(t.serviceTime(n))
	if deadlinePassed(r) { // frozen in between; nothing takes effect after the deadline
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	answer, _ := json.Marshal(map[string]any{ // plain values always encode
		"service": t.cfg.Service, "key": r.Header.Get(call.HeaderKey), "path": r.URL.Path,
		"body": string(body), "unit": r.Header.Get(call.HeaderUnit),
	})
	_, _ = w.Write(append(answer, '\n')) // the process beside may have gone away
}

// logRun appends a line before the answer, so that a run is never forgotten.
func (t *Target) logRun(key string, r *http.Request) {
	if t.runLog == nil {
		return
	}
	line := fmt.Sprintf("%s %s %s\n", key, r.Header.Get(call.HeaderUnit), r.Header.Get(call.HeaderEpoch))
	_, _ = t.runLog.WriteString(line) // a short append is written whole
}

// deadlinePassed reports whether a request's deadline passed before it was read.
func deadlinePassed(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64)
	return err == nil && time.Now().UnixMilli() > ms
}

// logInterval appends when a request for a key ran, for the check that no two
// targets run requests for one key at once. Work after the deadline does not
// take effect, so the interval ends there at the latest.
func (t *Target) logInterval(r *http.Request, begin time.Time) {
	key := r.Header.Get(call.HeaderKey)
	if t.intervalLog == nil || key == "" {
		return
	}
	end := time.Now()
	if ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64); err == nil && end.UnixMilli() > ms {
		end = time.UnixMilli(ms)
	}
	line := fmt.Sprintf("%s %d %d\n", key, begin.UnixNano(), end.UnixNano())
	_, _ = t.intervalLog.WriteString(line) // a short append is written whole
}

func (t *Target) countRequest(n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	if n > int64(t.cfg.Slots) {
		t.overSlots++
	}
	for high := t.highestRunning.Load(); n > high && !t.highestRunning.CompareAndSwap(high, n); high = t.highestRunning.Load() {
	}
}

// serviceTime collapses a cold target that gets more than a quarter of its
// slots.
func (t *Target) serviceTime(n int64) time.Duration {
	d := t.cfg.ServiceTime
	if f := t.slowFactor.Load(); f > 1 {
		d *= time.Duration(f)
	}
	if time.Since(t.started) < t.cfg.ColdTime {
		d *= time.Duration(t.cfg.ColdFactor)
		if n > int64(t.cfg.Slots/4+1) {
			d *= time.Duration(t.cfg.ColdFactor)
		}
	}
	return d
}

// allowed checks grant and epoch if the stand-in checks fences.
func (t *Target) allowed(r *http.Request) bool {
	unit := r.Header.Get(call.HeaderUnit)
	if !t.cfg.ChecksFences || unit == "" {
		return true
	}
	epoch, err := strconv.ParseUint(r.Header.Get(call.HeaderEpoch), 10, 64)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || epoch < t.epochs[unit] || time.Now().After(t.grantUntil) {
		t.refused++
		return false
	}
	t.epochs[unit] = epoch
	return true
}

func (t *Target) grant(w http.ResponseWriter, r *http.Request) {
	var g gate.Grant
	if err := json.NewDecoder(io.LimitReader(r.Body, 4<<10)).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grantUntil = time.Now().Add(time.Duration(g.ValidMs) * time.Millisecond)
	if end := time.UnixMilli(g.ValidUntilMs); end.Before(t.grantUntil) {
		t.grantUntil = end
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) stats(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Served: t.served, OverSlots: t.overSlots, Refused: t.refused, Highest: t.highestRunning.Load()}
	_ = json.NewEncoder(w).Encode(s) // the reader may have gone away
}

// setSlow multiplies the service time for a while: ?factor=10&for=500ms.
func (t *Target) setSlow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseInt(r.URL.Query().Get("factor"), 10, 32)
	duration, derr := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || derr != nil || factor < 1 {
		http.Error(w, "factor and for are needed", http.StatusBadRequest)
		return
	}
	t.slowFactor.Store(factor)
	time.AfterFunc(duration, func() { t.slowFactor.CompareAndSwap(factor, 0) })
	w.WriteHeader(http.StatusNoContent)
}
