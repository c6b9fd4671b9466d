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

// Load sends requests to one service from several concurrent callers until Stop.
type Load struct {
	Service string
	// With Keyed, requests carry a key; with Payments, they are POST requests
	// with idempotency keys.
	Keyed, Payments bool
	Callers         int
	// Pause is the mean time between the end of a request and the next request of
	// the same caller. It must be positive.
	Pause time.Duration
	// PickAddress returns the address for callers of a running process. Callers call
	// it concurrently, each with its own source of random numbers.
	PickAddress func(*rand.Rand) string
	// Timeout is the timeout that each request carries. The HTTP client gives up
	// 2 s later.
	Timeout time.Duration

	mu              sync.Mutex
	counts          Counts
	lastServed      map[string]time.Time // of the last served request, by measuredKey
	longestUnserved map[string]time.Duration
	confirmed       map[string]bool // idempotency keys that were answered as done
	mismatched      []string
	stoppedAt       time.Time

	paymentCount atomic.Uint64
	keyCount     atomic.Uint64
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	client       *http.Client
}

// Counts sums up the answers that callers received.
type Counts struct {
	Served, NotRun, Unknown int
	// Unanswered counts attempts without a complete answer, for example because the
	// process had ended or was frozen, and answers without an outcome. The caller
	// makes up to three attempts for the former and one for the latter.
	Unanswered int
	// ByReason counts the answers with outcome not-run or unknown by their text.
	ByReason map[string]int
}

// numKeys is the number of keys. It is small, so that each key is requested
// often enough to measure the time in which it is not served.
const numKeys = 48

// Start starts the callers. It must be called once, before all other methods.
func (l *Load) Start() {
	l.lastServed, l.longestUnserved, l.confirmed = map[string]time.Time{}, map[string]time.Duration{}, map[string]bool{}
	l.counts.ByReason = map[string]int{}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: l.Timeout + 2*time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for i := range l.Callers {
		l.wg.Add(1)
		go l.runCaller(ctx, rand.New(rand.NewPCG(uint64(i), 1)))
	}
}

// Stop ends the callers and blocks until their requests have ended. The concurrent
// duplicate of a payment may still be in progress then.
func (l *Load) Stop() {
	l.mu.Lock()
	if l.stoppedAt.IsZero() {
		l.stoppedAt = time.Now()
	}
	l.mu.Unlock()
	l.cancel()
	l.wg.Wait()
}

// runCaller sends requests until ctx ends. All callers share one round-robin
// counter of keys, so that the time between two requests for a key is even and
// a caller that waits for a frozen process does not delay the requests for any key.
func (l *Load) runCaller(ctx context.Context, r *rand.Rand) {
	defer l.wg.Done()
	for ctx.Err() == nil {
		key := fmt.Sprintf("key-%d", l.keyCount.Add(1)%numKeys)
		if l.Payments {
			l.sendPayment(r)
		} else {
			l.sendRead(r, key)
		}
		time.Sleep(l.Pause/2 + time.Duration(r.Int64N(int64(l.Pause))))
	}
}

// sendRead sends one GET request, which may run more than once, and retries it up to
// twice if it got no complete answer.
func (l *Load) sendRead(r *rand.Rand, key string) {
	for range 3 {
		done, retry := l.send(http.MethodGet, r, key, "", "")
		if done || !retry {
			return
		}
	}
}

// sendPayment sends one payment, one time in ten as two concurrent requests, and
// retries it up to twice, at newly picked processes, if its response was lost.
func (l *Load) sendPayment(r *rand.Rand) {
	key := fmt.Sprintf("pay-%s-%d", l.Service, l.paymentCount.Add(1))
	body := `{"amount": 12}`
	if r.IntN(10) == 0 {
		go l.send(http.MethodPost, rand.New(rand.NewPCG(r.Uint64(), 2)), "", key, body)
	}
	for range 3 {
		done, retry := l.send(http.MethodPost, r, "", key, body)
		if done {
			l.mu.Lock()
			l.confirmed[key] = true
			l.mu.Unlock()
			return
		}
		if !retry {
			return
		}
	}
}

// send makes one request. done reports whether it was served, and retry whether
// it got no complete answer, so that the caller should retry it.
func (l *Load) send(method string, r *rand.Rand, key, idempotencyKey, body string) (done, retry bool) {
	req, err := http.NewRequest(method, "http://"+l.PickAddress(r)+"/"+l.Service+"/item", strings.NewReader(body))
	if err != nil {
		return false, false
	}
	req.Header.Set(call.HeaderTimeout, fmt.Sprint(l.Timeout.Milliseconds()))
	if l.Keyed {
		req.Header.Set(call.HeaderKey, key)
	}
	if idempotencyKey != "" {
		req.Header.Set(call.HeaderIdempotencyKey, idempotencyKey)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		l.countAnswer(l.measuredKey(key), "", "")
		return false, true
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		l.countAnswer(l.measuredKey(key), "", "")
		return false, true
	}
	l.checkKey(key, resp, string(text))
	l.countAnswer(l.measuredKey(key), resp.Header.Get(call.HeaderOutcome), string(text))
	return resp.Header.Get(call.HeaderOutcome) == "done", false
}

// measuredKey returns the key for which the unserved time is measured, or the name of
// the service if requests carry no key.
func (l *Load) measuredKey(key string) string {
	if l.Keyed {
		return key
	}
	return l.Service
}

// checkKey records answers that do not belong to their request.
func (l *Load) checkKey(key string, resp *http.Response, text string) {
	if resp.Header.Get(call.HeaderOutcome) != "done" || !l.Keyed {
		return
	}
	if !strings.Contains(text, fmt.Sprintf("%q:%q", "key", key)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.mismatched = append(l.mismatched, "requested "+key+", got "+text)
	}
}

// countAnswer counts an answer with its outcome, which is empty if there was no
// complete answer.
func (l *Load) countAnswer(measuredKey, outcome, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case "done":
		l.counts.Served++
		now := time.Now()
		if previous, ok := l.lastServed[measuredKey]; ok {
			l.longestUnserved[measuredKey] = max(l.longestUnserved[measuredKey], now.Sub(previous))
		}
		l.lastServed[measuredKey] = now
	case "not-run":
		l.counts.NotRun++
		l.counts.ByReason[strings.TrimSpace(text)]++
	case "unknown":
		l.counts.Unknown++
		l.counts.ByReason[strings.TrimSpace(text)]++
	default:
		l.counts.Unanswered++
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

// LongestUnserved returns the longest time since the last ResetUnserved between two
// served requests for the same key, or for the service if it is not divided by key.
// It includes the time from the last served request until now, or until Stop. Keys
// that were never served are not counted.
func (l *Load) LongestUnserved() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	for _, d := range l.longestUnserved {
		longest = max(longest, d)
	}
	for _, last := range l.lastServed {
		if l.stoppedAt.IsZero() {
			longest = max(longest, time.Since(last))
		} else {
			longest = max(longest, l.stoppedAt.Sub(last))
		}
	}
	return longest
}

// ResetUnserved restarts the measurement of LongestUnserved, as if every key that has
// been served so far had been served now.
func (l *Load) ResetUnserved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.longestUnserved)
	for key := range l.lastServed {
		l.lastServed[key] = time.Now()
	}
}

// MismatchedAnswers returns descriptions of the served answers that were for another
// key than the requested one. Without Keyed there are none.
func (l *Load) MismatchedAnswers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mismatched
}

// ConfirmedPayments returns the idempotency keys of the payments that were
// answered as done.
func (l *Load) ConfirmedPayments() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	confirmed := make(map[string]bool, len(l.confirmed))
	for k := range l.confirmed {
		confirmed[k] = true
	}
	return confirmed
}
