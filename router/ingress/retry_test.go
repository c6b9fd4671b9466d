package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/ingress"
	"bramleyquay.example/router/member/memberfake"
)

// fakeGates is an ingress.RemoteGates whose answers a test sets.
type fakeGates struct {
	mu    sync.Mutex
	tries int
	// answer returns the refusal of try n, counted from 1, or nil for an answer.
	answer func(ctx context.Context, n int) *outcome.Refusal
	// hold, if set, is called when an answer's body is read, which ends when hold
	// returns.
	hold func()
}

// heldBody is empty and ends when hold has returned.
type heldBody struct{ hold func() }

// Read implements io.Reader.
func (b heldBody) Read([]byte) (int, error) { b.hold(); return 0, io.EOF }

// Forward implements ingress.RemoteGates.
func (g *fakeGates) Forward(ctx context.Context, _ string, _ *call.Call) (*call.Response, *balancer.GateLoad, *outcome.Refusal) {
	g.mu.Lock()
	g.tries++
	n, answer, hold := g.tries, g.answer, g.hold
	g.mu.Unlock()
	if r := answer(ctx, n); r != nil {
		return nil, nil, r
	}
	if hold != nil {
		return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(heldBody{hold})}, nil, nil
	}
	return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil, nil
}

func (g *fakeGates) setAnswers(answer func(ctx context.Context, n int) *outcome.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tries, g.answer = 0, answer
}

func (g *fakeGates) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tries
}

// newRemoteIngress returns an ingress of a process without target, and the gates that
// it forwards to: three members of the service "plain", of which m1 also owns the
// units of the sharded services.
func newRemoteIngress(t *testing.T, phase table.Phase) (*ingress.Ingress, *fakeGates) {
	t.Helper()
	owner := func(keyspace string) table.Entry {
		return table.Entry{Unit: unit(keyspace), Owner: "m1", Epoch: 3, Phase: phase}
	}
	var members []control.Member
	for _, id := range []table.MemberID{"m1", "m2", "m3"} {
		members = append(members, control.Member{ID: id, DataCentre: "a", PeerAddr: string(id), State: control.MemberActive, Target: &control.Target{Service: "plain", Slots: 50}})
	}
	doc := document()
	doc.Automation.Retries = true
	view, err := memberfake.View(1, doc, []table.Entry{owner("keyed:k"), owner("pay")}, members...)
	if err != nil {
		t.Fatal(err)
	}
	g := &fakeGates{}
	return ingress.New(ingress.Config{Self: "far", DataCentre: "a", MaxWaiting: 8, Seed: 1}, memberfake.New("far", view), nil, g, discardLog), g
}

// send passes a request to the ingress.
func send(in *ingress.Ingress, method, path string, body io.Reader) *http.Response {
	req := httptest.NewRequest(method, path, body)
	req.Header.Set(call.HeaderKey, "k1")
	req.Header.Set(call.HeaderTimeout, "400")
	if strings.HasPrefix(path, "/pay") {
		req.Header.Set(call.HeaderIdempotencyKey, "i")
	}
	w := httptest.NewRecorder()
	in.ServeHTTP(w, req)
	return w.Result()
}

// TestRetriesAndOutcomes guards against a second run of a request that is not
// idempotent, and against the outcome not-run after an earlier try with an unknown
// outcome.
func TestRetriesAndOutcomes(t *testing.T) {
	queueFull := outcome.NewNotRun(outcome.ReasonQueueFull, "")
	notConnected := outcome.NewNotRun(outcome.ReasonConnectionFailed, "")
	connectionLost := outcome.NewUnknown(outcome.ReasonConnectionFailed, "")
	answerBroken := outcome.NewUnknown(outcome.ReasonUpstreamBroken, "")
	for _, c := range []struct {
		name, method, path string
		streamed           bool
		tries              []*outcome.Refusal // the refusals of the first tries; later ones are answered
		count              int
		outcome            string
	}{
		{"not-run", "POST", "/plain/x", false, []*outcome.Refusal{queueFull}, 2, "done"},
		{"not reached", "POST", "/plain/x", false, []*outcome.Refusal{notConnected, notConnected}, 3, "done"},
		{"unknown", "POST", "/plain/x", false, []*outcome.Refusal{connectionLost}, 1, "unknown"},
		{"unknown after not-run", "POST", "/plain/x", false, []*outcome.Refusal{queueFull, connectionLost}, 2, "unknown"},
		{"streamed body", "POST", "/plain/x", true, []*outcome.Refusal{queueFull}, 1, "not-run"},
		{"unknown GET", "GET", "/plain/x", false, []*outcome.Refusal{connectionLost}, 2, "done"},
		{"unknown GET, then not-run", "GET", "/plain/x", false, []*outcome.Refusal{connectionLost, queueFull, queueFull, queueFull, queueFull, queueFull}, 0, "unknown"},
		{"keyed not-run", "POST", "/keyed/x", false, []*outcome.Refusal{notConnected}, 2, "done"},
		{"keyed unknown", "POST", "/keyed/x", false, []*outcome.Refusal{connectionLost}, 1, "unknown"},
		{"keyed DELETE", "DELETE", "/keyed/x", false, []*outcome.Refusal{answerBroken}, 1, "unknown"},
		{"keyed streamed body", "POST", "/keyed/x", true, []*outcome.Refusal{notConnected}, 1, "not-run"},
		{"keyed GET, then not-run", "GET", "/keyed/x", false, []*outcome.Refusal{connectionLost, queueFull, queueFull, queueFull, queueFull, queueFull}, 0, "unknown"},
		{"payment whose answer broke off", "POST", "/pay/x", false, []*outcome.Refusal{answerBroken}, 1, "unknown"},
		{"payment not-run", "POST", "/pay/x", false, []*outcome.Refusal{notConnected}, 2, "done"},
		{"payment unknown, then not-run", "POST", "/pay/x", false, []*outcome.Refusal{connectionLost, queueFull, queueFull, queueFull, queueFull, queueFull}, 0, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			in, g := newRemoteIngress(t, table.Serving)
			g.setAnswers(func(_ context.Context, n int) *outcome.Refusal {
				if n <= len(c.tries) {
					return c.tries[n-1]
				}
				return nil
			})
			var body io.Reader = strings.NewReader("body")
			if c.streamed {
				body = struct{ io.Reader }{body}
			}
			is.Equal(outcomeOf(send(in, c.method, c.path, body)), c.outcome)
			if c.count > 0 {
				is.Equal(g.count(), c.count)
			}
		})
	}
}

// TestWaitingRequestsAreBounded guards against an unbounded number of requests that
// wait for an owner, and against an answer to the refused ones that states a passed
// deadline.
func TestWaitingRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	in, g := newRemoteIngress(t, table.Moving)
	g.setAnswers(func(context.Context, int) *outcome.Refusal { return nil })
	results := make(chan string, 64)
	for range cap(results) {
		go func() {
			data, _ := io.ReadAll(send(in, http.MethodGet, "/keyed/x", nil).Body) // reading from a recorder does not fail
			results <- string(data)
		}()
	}
	overloaded, ended := 0, 0
	for range cap(results) {
		is.True(in.Status().Waiting <= 8)
		text := <-results
		is.True(strings.Contains(text, `"outcome":"not-run"`))
		switch {
		case strings.Contains(text, string(outcome.ReasonOverloaded)):
			overloaded++
			is.True(!strings.Contains(text, "deadline passed"))
		default:
			ended++
		}
	}
	is.True(overloaded >= cap(results)-8)
	is.True(ended <= 8)
	is.Equal(in.Status().Waiting, 0)
	is.Equal(g.count(), 0)
}

// TestHedges guards against hedges of requests that must run once, and against a
// try that is not cancelled when the other one has been answered.
func TestHedges(t *testing.T) {
	for _, c := range []struct {
		method, path string
		tries        int
	}{
		{"GET", "/plain/x", 2}, {"POST", "/plain/x", 1}, {"POST", "/pay/x", 1}, {"GET", "/keyed/x", 1},
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			is := is.New(t)
			in, g := newRemoteIngress(t, table.Serving)
			g.setAnswers(func(context.Context, int) *outcome.Refusal { time.Sleep(time.Millisecond); return nil })
			for range 300 { // the latency is known from 100 samples on
				is.Equal(outcomeOf(send(in, http.MethodGet, "/plain/x", nil)), "done")
			}
			for range 250 { // never hedged; these refill the budget that slow ones above may have used
				is.Equal(outcomeOf(send(in, http.MethodPost, "/plain/x", nil)), "done")
			}
			cancelled := make(chan struct{})
			g.setAnswers(func(ctx context.Context, n int) *outcome.Refusal {
				if n > 1 {
					return nil
				}
				<-ctx.Done()
				close(cancelled)
				return outcome.NewUnknown(outcome.ReasonConnectionFailed, "cancelled")
			})
			inTime := false
			g.hold = func() { // the late try must end while the body of the other answer is still being read
				select {
				case <-cancelled:
					inTime = true
				case <-time.After(200 * time.Millisecond):
				}
			}
			resp := send(in, c.method, c.path, strings.NewReader("b"))
			is.Equal(g.count(), c.tries)
			if c.tries == 1 {
				is.Equal(outcomeOf(resp), "unknown")
				return
			}
			is.Equal(outcomeOf(resp), "done")
			is.True(inTime)
		})
	}
}
