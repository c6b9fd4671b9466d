package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/rangetarget"
	"bramleyquay.example/router/relay"
)

const (
	// About 500 requests per second: during every fault there are requests for every
	// key range, and the targets still have free slots.
	callers     = 12
	callerPause = 10 * time.Millisecond
	// requestTimeout is the timeout of the routes in the document.
	requestTimeout = 3 * time.Second
	// probeKeys keys, sent to each member, reach the key ranges of every target.
	probeKeys = 24
)

// answer is the result of one request, as its caller saw it.
type answer struct {
	id     string
	unsafe bool
	// node received the request at start and had answered or failed at end.
	node       string
	start, end time.Time
	status     int // 0: no complete answer
	notRun     bool
	body       string
	signature  string
	err        error
}

// load sends requests from a set of callers, which keep their connections until the
// process at the other end closes them.
type load struct {
	c       *cluster
	client  *http.Client
	mu      sync.Mutex
	answers []answer
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// startLoad starts the callers; stop ends them.
func startLoad(c *cluster, seed uint64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{c: c, cancel: cancel, client: newHTTPClient()}
	for i := range callers {
		l.wg.Go(func() { l.run(ctx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	l.wg.Go(func() { l.runPipelines(ctx, rand.New(rand.NewPCG(seed, callers))) })
	return l
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}, Timeout: requestTimeout + time.Second}
}

func (l *load) run(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		member := l.c.Members[rng.IntN(len(l.c.Members))]
		path := []string{"/view/x", "/buy/x", "/mail/x"}[rng.IntN(3)]
		start := time.Now()
		a := call(l.client, member, path, fmt.Sprintf("r%d-%d", rng.Uint32(), n), rng.IntN(1<<16))
		a.node, a.start, a.end = member.Name, start, time.Now()
		l.mu.Lock()
		l.answers = append(l.answers, a)
		l.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// stop ends the callers, waits for their last requests and returns all answers.
func (l *load) stop() []answer {
	l.cancel()
	l.wg.Wait()
	l.client.CloseIdleConnections()
	return l.answers
}

// call sends one request. The body of unsafe requests cannot be rewound, so that
// net/http does not retry them by itself.
func call(client *http.Client, member *harness.FleetNode, path, id string, key int) answer {
	a := answer{id: id, unsafe: strings.HasPrefix(path, "/buy/")}
	method, body := http.MethodGet, io.Reader(nil)
	if a.unsafe {
		method, body = http.MethodPost, io.MultiReader(strings.NewReader("pay"))
	}
	host := "seats.example"
	if strings.HasPrefix(path, "/mail/") {
		host = "mail.example"
	}
	r, err := member.Request(context.Background(), harness.FleetRequest{
		Method: method, Host: host, Path: path, ID: id, Key: key, Timeout: requestTimeout, Body: body,
	})
	if err != nil {
		a.err = err
		return a
	}
	names := relay.DefaultHeaderNames
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	text, err := io.ReadAll(resp.Body)
	a.notRun = resp.Header.Get(names.NotRun) != ""
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.signature = resp.StatusCode, string(text), resp.Header.Get(names.Signature)
	return a
}

// violation returns how a served answer differs from the answer of a target, or "".
func (a *answer) violation() string {
	switch {
	case a.status != http.StatusOK:
		return ""
	case a.body != rangetarget.Body(a.id):
		return fmt.Sprintf("request %s: the answer's body has %d bytes and is not the target's", a.id, len(a.body))
	case a.signature == "":
		return fmt.Sprintf("request %s: the answer has no target's signature", a.id)
	}
	return ""
}

// probe sends each member one request for the service without key ranges and requests
// for keys all over the key space. It returns an error unless all are served.
func (c *cluster) probe(ctx context.Context) error {
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	for _, m := range c.Members {
		for i := range probeKeys {
			key := i * (1 << 16) / probeKeys
			path := "/view/probe"
			if i == 0 {
				path = "/mail/probe"
			}
			a := call(client, m, path, fmt.Sprintf("probe-%s-%d-%d", m.Name, i, time.Now().UnixNano()), key)
			if a.status != http.StatusOK {
				return fmt.Errorf("%s at %s, key %d: status %d, %v", path, m.Name, key, a.status, a.err)
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	return nil
}
