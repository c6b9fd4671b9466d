package relay

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/logging"
)

// shouldRetryAfter reports whether a request is retried after a first try.
func shouldRetryAfter(sharded bool, kind routes.Kind, attempts int, last result) bool {
	in := &Ingress{
		budgets: newRetryBudgets(RetryBudgetConfig{Ratio: 2, Burst: 100}),
		log:     logging.ForComponent(logging.New(io.Discard, "error", false), "ingress"),
	}
	for range 10 {
		in.budgets.countRequest("s", 1)
	}
	req := &routedRequest{sharded: sharded, service: "s", deadline: time.Now().Add(time.Hour)}
	st := &requestState{request: req, route: &routes.Route{Kind: kind, Attempts: attempts}, picks: 1, last: last}
	if last.reached {
		st.reached = 1
	}
	return in.shouldRetry(st)
}

func answered(status int) result {
	return result{outcome: done, reached: true, response: &httpclient.Response{Status: status, Header: http.Header{}}}
}

// TestShouldRetry guards against retries of a request that its owner has refused
// for good, against a second run of one that is not idempotent, and against more
// attempts at targets than the route allows.
func TestShouldRetry(t *testing.T) {
	broken := result{outcome: unknown, reached: true}
	shed := result{outcome: notRun, reached: true, reason: reasonTargetRefused}
	tests := map[string]struct {
		sharded  bool
		kind     routes.Kind
		attempts int
		last     result
		want     bool
	}{
		"owner is too busy":                 {true, routes.Idempotent, 2, refused(dispatch.ReasonWouldMissDeadline, time.Second), false},
		"owner gets the key later":          {true, routes.Idempotent, 2, refused(reasonNotGranted, time.Second), false},
		"owner has changed":                 {true, routes.Idempotent, 2, refused(reasonNotOwner, 0), true},
		"another target may be free":        {false, routes.NonIdempotent, 1, refused(dispatch.ReasonNoFreeSlot, time.Second), true},
		"not idempotent, may have run":      {false, routes.NonIdempotent, 2, broken, false},
		"not idempotent, did not run":       {false, routes.NonIdempotent, 2, shed, true},
		"idempotent, may have run":          {false, routes.Idempotent, 2, broken, true},
		"idempotent, attempts used up":      {false, routes.Idempotent, 1, broken, false},
		"idempotent, answered with 500":     {false, routes.Idempotent, 2, answered(500), true},
		"not idempotent, answered with 500": {false, routes.NonIdempotent, 2, answered(500), false},
		"answered with 200":                 {false, routes.Idempotent, 2, answered(200), false},
		"answered with 404":                 {false, routes.Idempotent, 2, answered(404), false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(shouldRetryAfter(c.sharded, c.kind, c.attempts, c.last), c.want)
		})
	}
}

// TestAnswerStatus guards against a 502 instead of a 504 for a try that ended at
// the deadline, and against a 503 for a request that may have run.
func TestAnswerStatus(t *testing.T) {
	tests := map[string]struct {
		left       time.Duration
		mayHaveRun bool
		last       result
		want       int
	}{
		"nothing ran":             {time.Second, false, refused("x", time.Second), 503},
		"shed by every target":    {time.Second, false, result{outcome: notRun, reached: true}, 503},
		"ended at the deadline":   {time.Millisecond, true, result{outcome: unknown, reached: true}, 504},
		"broke off before":        {time.Second, true, result{outcome: unknown, reached: true}, 502},
		"shed after a broken try": {time.Second, true, result{outcome: notRun, reached: true}, 502},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := &Ingress{}
			st := &requestState{request: &routedRequest{deadline: time.Now().Add(c.left)}, route: &routes.Route{Kind: routes.Idempotent}, last: c.last, mayHaveRun: c.mayHaveRun}
			is.Equal(in.answer(st, false).Status, c.want)
		})
	}
}
