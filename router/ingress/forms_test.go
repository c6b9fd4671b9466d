package ingress_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/strictresponse/responseforms"
)

// Guards against malformed answers of a target that reach a caller as answers, and against
// a connection that is used again after one. Where the head is in order its answer may have
// begun: the caller's connection is then aborted.
func TestMalformedAnswers(t *testing.T) {
	var text string
	target := &rawTarget{keepOpen: true, answer: func(int64, *http.Request) string { return text }}
	fx := newFixture(t, "plain", target.listen(t))
	for _, form := range responseforms.Malformed() {
		t.Run(string(form.Part)+"/"+form.Name, func(t *testing.T) {
			text = form.Text
			fx.throughBoth(t, func(t *testing.T, base string) {
				is := is.New(t)
				before, begin := target.connections.Load(), time.Now()
				for range 2 {
					resp, body, err := do(t, http.MethodPost, base+"/plain/x", []byte("b"), "Bq-Timeout-Ms", "5000")
					if err != nil && !form.InHead() {
						continue // the connection was aborted, which no caller takes for an answer
					}
					is.NoErr(err)
					if outcomeOf(resp) != "unknown" || resp.StatusCode != http.StatusBadGateway {
						t.Fatalf("accepted: status %d, header %q, body %q", resp.StatusCode, resp.Header, body)
					}
				}
				is.True(time.Since(begin) < 5*time.Second) // it was refused, not waited for
				is.Equal(target.connections.Load(), before+2)
			})
		})
	}
	// Every slot becomes free again, the last one after its answer was aborted.
	for end := time.Now().Add(10 * time.Second); fx.gate.Status().Limiter.Running > 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	is.New(t).Equal(fx.gate.Status().Limiter.Running, 0)
}

// Guards against valid answers that are refused.
func TestValidAnswers(t *testing.T) {
	var text string
	target := &rawTarget{keepOpen: true, answer: func(int64, *http.Request) string { return text }}
	fx := newFixture(t, "plain", target.listen(t))
	for _, form := range responseforms.Valid() {
		t.Run(form.Name, func(t *testing.T) {
			text = form.Text
			fx.throughBoth(t, func(t *testing.T, base string) {
				is := is.New(t)
				resp, body, err := do(t, http.MethodPost, base+"/plain/x", []byte("b"))
				is.NoErr(err)
				is.Equal(outcomeOf(resp), "done")
				is.True(string(body) == "hello" || resp.StatusCode == 204 || resp.StatusCode == 304)
			})
		})
	}
}
