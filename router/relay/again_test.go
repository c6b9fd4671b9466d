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

// decide asks whether a request is tried again after a first try.
func decide(sharded bool, kind routes.Kind, attempts int, last result) bool {
	in := &Ingress{
		budgets: newBudgets(RetryBudgetConfig{Ratio: 2, Burst: 100}),
		log:     logging.ForComponent(logging.New(io.Discard, "error", false), "ingress"),
	}
	for range 10 {
		in.budgets.request("s", 1)
	}
	j := &job{sharded: sharded, service: "s", deadline: time.Now().Add(time.Hour)}
	t := &try{job: j, route: &routes.Route{Kind: kind, Attempts: attempts}, picks: 1, last: last}
	if last.reached {
		t.reached = 1
	}
	return in.again(t)
}

func answered(status int) result {
	return result{kind: done, reached: true, response: &httpclient.Response{Status: status, Header: http.Header{}}}
}

// Guards against a request that is held although its owner has refused it for
// good, against an unsafe one that runs twice, and against one that reaches
// more targets than its route allows.
func TestAgain(t *testing.T) {
	broken := result{kind: unknown, reached: true}
	shed := result{kind: notRun, reached: true, reason: reasonShed}
	tests := map[string]struct {
		sharded  bool
		kind     routes.Kind
		attempts int
		last     result
		want     bool
	}{
		"owner is too busy":            {true, routes.Idempotent, 2, refused(dispatch.ReasonWouldMissDeadline, time.Second), false},
		"owner gets the key later":     {true, routes.Idempotent, 2, refused(reasonNotHeld, time.Second), false},
		"owner has changed":            {true, routes.Idempotent, 2, refused(reasonNotOwner, 0), true},
		"another target may be free":   {false, routes.NonIdempotent, 1, refused(dispatch.ReasonNoFreeSlot, time.Second), true},
		"unsafe may have run":          {false, routes.NonIdempotent, 2, broken, false},
		"unsafe did not run":           {false, routes.NonIdempotent, 2, shed, true},
		"safe may have run":            {false, routes.Idempotent, 2, broken, true},
		"safe on its last target":      {false, routes.Idempotent, 1, broken, false},
		"safe and failed":              {false, routes.Idempotent, 2, answered(500), true},
		"unsafe and failed":            {false, routes.NonIdempotent, 2, answered(500), false},
		"answered":                     {false, routes.Idempotent, 2, answered(200), false},
		"refused by the target's code": {false, routes.Idempotent, 2, answered(404), false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(decide(c.sharded, c.kind, c.attempts, c.last), c.want)
		})
	}
}

// Guards against an end at the deadline that is answered as a broken answer,
// and against a 503 for a request that may have run.
func TestAnswerStatus(t *testing.T) {
	tests := map[string]struct {
		left       time.Duration
		mayHaveRun bool
		last       result
		want       int
	}{
		"nothing ran":             {time.Second, false, refused("x", time.Second), 503},
		"shed by every target":    {time.Second, false, result{kind: notRun, reached: true}, 503},
		"ended at the deadline":   {time.Millisecond, true, result{kind: unknown, reached: true}, 504},
		"broke off before":        {time.Second, true, result{kind: unknown, reached: true}, 502},
		"shed after a broken try": {time.Second, true, result{kind: notRun, reached: true}, 502},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := &Ingress{}
			tr := &try{job: &job{deadline: time.Now().Add(c.left)}, route: &routes.Route{Kind: routes.Idempotent}, last: c.last, mayHaveRun: c.mayHaveRun}
			is.Equal(in.answer(tr, false).Status, c.want)
		})
	}
}
