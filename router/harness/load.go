package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleyquay.example/router/call"
)

// Load drives one service with callers that go on until Stop.
type Load struct {
	Service string
	// Keyed sends a key, Payments sends posts with idempotency keys.
	Keyed, Payments bool
	Callers         int
	// Pause is the time between two requests of one caller.
	Pause time.Duration
	// Entry returns the callers' address of a process that runs.
	Entry func(*rand.Rand) string
	// Timeout is the deadline of each request.
	Timeout time.Duration

	mu      sync.Mutex
	counts  Counts
	last    map[string]time.Time
	longest map[string]time.Duration
	paid    map[string]bool // keys that got an answer
	wrong   []string
	stopped time.Time

	next   atomic.Uint64
	turn   atomic.Uint64
	cancel context.CancelFunc
	wait   sync.WaitGroup
	client *http.Client
}

// Counts sums up the answers that callers got.
type Counts struct {
	Served, NotRun, Unknown int
	// Resent counts requests that a caller sent again itself, because the
	// process that it talked to had gone.
	Resent int
	// ByReason counts refusals by outcome and reason.
	ByReason map[string]int
}

// loadKeys is the number of keys, so that each is asked for often enough to
// show a gap.
const loadKeys = 48

// Start starts the callers.
func (l *Load) Start() {
	l.last, l.longest, l.paid = map[string]time.Time{}, map[string]time.Duration{}, map[string]bool{}
	l.counts.ByReason = map[string]int{}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: l.Timeout + 2*time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for i := range l.Callers {
		l.wait.Add(1)
		go l.call(ctx, rand.New(rand.NewPCG(uint64(i), 1)))
	}
}

// Stop ends the callers and waits for their last answers.
func (l *Load) Stop() {
	l.mu.Lock()
	if l.stopped.IsZero() {
		l.stopped = time.Now()
	}
	l.mu.Unlock()
	l.cancel()
	l.wait.Wait()
}

// call asks for the keys in turns that all callers share. So the time between
// two requests for a key is even, and a caller that waits for a frozen process
// keeps no key from being asked for.
func (l *Load) call(ctx context.Context, r *rand.Rand) {
	defer l.wait.Done()
	for ctx.Err() == nil {
		key := fmt.Sprintf("key-%d", l.turn.Add(1)%loadKeys)
		if l.Payments {
			l.pay(r)
		} else {
			l.browse(r, key)
		}
		time.Sleep(l.Pause/2 + time.Duration(r.Int64N(int64(l.Pause))))
	}
}

// browse sends one idempotent request.
func (l *Load) browse(r *rand.Rand, key string) {
	for range 3 {
		done, again := l.send(http.MethodGet, r, key, "", "")
		if done || !again {
			return
		}
	}
}

// pay sends one payment, sometimes twice at once, and sends it again at
// another process when its answer was lost.
func (l *Load) pay(r *rand.Rand) {
	key := fmt.Sprintf("pay-%s-%d", l.Service, l.next.Add(1))
	body := `{"amount": 12}`
	if r.IntN(10) == 0 {
		go l.send(http.MethodPost, rand.New(rand.NewPCG(r.Uint64(), 2)), "", key, body)
	}
	for range 3 {
		done, again := l.send(http.MethodPost, r, "", key, body)
		if done {
			l.mu.Lock()
			l.paid[key] = true
			l.mu.Unlock()
			return
		}
		if !again {
			return
		}
	}
}

// send makes one request. It reports whether it was served, and whether the
// caller should send it again itself.
func (l *Load) send(method string, r *rand.Rand, key, payment, body string) (done, again bool) {
	req, err := http.NewRequest(method, "http://"+l.Entry(r)+"/"+l.Service+"/item", strings.NewReader(body))
	if err != nil {
		return false, false
	}
	req.Header.Set(call.HeaderTimeout, fmt.Sprint(l.Timeout.Milliseconds()))
	if l.Keyed {
		req.Header.Set(call.HeaderKey, key)
	}
	if payment != "" {
		req.Header.Set(call.HeaderIdempotencyKey, payment)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		l.record(l.slot(key), "", "")
		return false, true
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		l.record(l.slot(key), "", "")
		return false, true
	}
	l.check(key, resp, string(text))
	l.record(l.slot(key), resp.Header.Get(call.HeaderOutcome), string(text))
	return resp.Header.Get(call.HeaderOutcome) == "done", false
}

// slot names what a gap is measured for.
func (l *Load) slot(key string) string {
	if l.Keyed {
		return key
	}
	return l.Service
}

// check notes answers that do not belong to their request.
func (l *Load) check(key string, resp *http.Response, text string) {
	if resp.Header.Get(call.HeaderOutcome) != "done" || !l.Keyed {
		return
	}
	if !strings.Contains(text, fmt.Sprintf("%q:%q", "key", key)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wrong = append(l.wrong, "asked for "+key+", got "+text)
	}
}

func (l *Load) record(slot, outcome, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case "done":
		l.counts.Served++
		now := time.Now()
		if before, ok := l.last[slot]; ok {
			l.longest[slot] = max(l.longest[slot], now.Sub(before))
		}
		l.last[slot] = now
	case "not-run":
		l.counts.NotRun++
		l.counts.ByReason[strings.TrimSpace(text)]++
	case "unknown":
		l.counts.Unknown++
		l.counts.ByReason[strings.TrimSpace(text)]++
	default:
		l.counts.Resent++
	}
}

// Counts returns the answers so far.
func (l *Load) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.ByReason = map[string]int{}
	for k, n := range l.counts.ByReason {
		c.ByReason[k] = n
	}
	return c
}

// LongestGap returns the longest time between two answers for the same key, or
// for the service if it is not divided by key. A gap that goes on counts with
// the time passed so far while the callers run.
func (l *Load) LongestGap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	for _, d := range l.longest {
		longest = max(longest, d)
	}
	for _, last := range l.last {
		if l.stopped.IsZero() {
			longest = max(longest, time.Since(last))
		} else {
			longest = max(longest, l.stopped.Sub(last))
		}
	}
	return longest
}

// ResetGaps starts the measurement of gaps anew.
func (l *Load) ResetGaps() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.longest)
	for slot := range l.last {
		l.last[slot] = time.Now()
	}
}

// Wrong returns answers that did not belong to their request.
func (l *Load) Wrong() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrong
}

// Paid returns the payments that were answered as done.
func (l *Load) Paid() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	paid := make(map[string]bool, len(l.paid))
	for k := range l.paid {
		paid[k] = true
	}
	return paid
}
