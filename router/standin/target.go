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

// Target is a running stand-in target.
type Target struct {
	cfg            Config
	started        time.Time
	runLog         *os.File
	intervalLog    *os.File
	running        atomic.Int64
	highestRunning atomic.Int64
	slowFactor     atomic.Int64 // factor of the service time; 0 means 1

	mu         sync.Mutex
	grantUntil time.Time         // end of the grant
	epochs     map[string]uint64 // highest epoch seen of each unit
	served     int
	overSlots  int
	refused    int
}

// Stats is the response of a stand-in target at /standin/stats. Served counts the
// requests that started, OverSlots those that started while all slots were in use, and
// Refused those that were refused because of the grant or an older epoch. Highest is
// the largest number of requests that ran at once.
type Stats struct {
	Served    int   `json:"served"`
	OverSlots int   `json:"overSlots"`
	Refused   int   `json:"refused"`
	Highest   int64 `json:"highestConcurrency"`
}

const (
	announceInterval = 200 * time.Millisecond
	announceTimeout  = time.Second
	// maxBodyBytes bounds the part of a request body that is echoed.
	maxBodyBytes = 1 << 20
)

// Run serves requests and blocks until SIGTERM or SIGINT. It then aborts the requests
// in progress.
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
		_ = server.Close() // makes Serve return
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// openLog opens a file for appending, or returns nil if the name is empty.
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

// announce announces the target to its sidecar process every announceInterval,
// because that process may restart. It returns only if the announcement cannot be
// encoded.
func (t *Target) announce(addr string) {
	body, err := json.Marshal(gate.Announcement{
		Service: t.cfg.Service, Address: addr, Slots: t.cfg.Slots, ChecksFences: t.cfg.ChecksFences,
		Incarnation: rand.Uint64()>>12 | 1, // at most 52 bits, which a JSON number holds exactly
	})
	if err != nil {
		return
	}
	client := &http.Client{Timeout: announceTimeout}
	for ; ; time.Sleep(announceInterval) {
		resp, err := client.Post("http://"+t.cfg.Platform+"/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close() // the answer is not needed
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
	if deadlinePassed(r) { // the target was frozen or too slow; requests have no effect after their deadline
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	answer, _ := json.Marshal(map[string]any{ // strings always encode
		"service": t.cfg.Service, "key": r.Header.Get(call.HeaderKey), "path": r.URL.Path,
		"body": string(body), "unit": r.Header.Get(call.HeaderUnit),
	})
	_, _ = w.Write(append(answer, '\n')) // fails if the sidecar process closed the connection
}

// logRun appends a payment to the run log. It is called before the service time and
// the response, so that a payment that ran is in the log even if its response was
// lost: otherwise a second run of it would not be found.
func (t *Target) logRun(key string, r *http.Request) {
	if t.runLog == nil {
		return
	}
	line := fmt.Sprintf("%s %s %s\n", key, r.Header.Get(call.HeaderUnit), r.Header.Get(call.HeaderEpoch))
	_, _ = t.runLog.WriteString(line) // a short append is written whole; the check of the runs finds confirmed payments without a line
}

// deadlinePassed reports whether the request's deadline has passed.
func deadlinePassed(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64)
	return err == nil && time.Now().UnixMilli() > ms
}

// logInterval appends the time in which a request for a key ran to the interval log,
// for the check that no two targets run requests for one key at the same time. The
// interval ends at the deadline at the latest, because requests have no effect later.
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
	_, _ = t.intervalLog.WriteString(line) // a short append is written whole; without its line the interval is not checked
}

// countRequest updates the statistics for a request that starts when n requests run,
// itself included.
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

// serviceTime returns the time of a request when n requests run. A cold target is
// slower by ColdFactor, and by its square when more than about a quarter of its slots
// are in use: it collapses under load.
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

// allowed reports whether the grant is valid and the request's epoch is not older than
// an earlier one of its unit. Requests without a unit are allowed, and all requests at
// targets that do not check fences.
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

// grant handles a grant that the sidecar process sends. It is valid for ValidMs from
// its arrival, but not after ValidUntilMs.
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
	_ = json.NewEncoder(w).Encode(s) // fails if the connection is closed
}

// setSlow multiplies the service time for a limited time: ?factor=10&for=500ms.
func (t *Target) setSlow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseInt(r.URL.Query().Get("factor"), 10, 32)
	duration, durationErr := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || durationErr != nil || factor < 1 {
		http.Error(w, "factor and for are needed", http.StatusBadRequest)
		return
	}
	t.slowFactor.Store(factor)
	time.AfterFunc(duration, func() { t.slowFactor.CompareAndSwap(factor, 0) })
	w.WriteHeader(http.StatusNoContent)
}
