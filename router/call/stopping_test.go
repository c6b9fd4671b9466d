package call_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
	"bramleyquay.example/router/httpserver"
)

// answerThen returns a function for Stopper.Do that calls then and answers. body gets the
// context of the body.
func answerThen(then func(), body *context.Context) func(context.Context) (*call.Response, *outcome.Refusal) {
	return func(ctx context.Context) (*call.Response, *outcome.Refusal) {
		then()
		*body = ctx
		return &call.Response{Status: http.StatusOK, Body: io.NopCloser(nil)}, nil
	}
}

// Guards against a response that is cut off in the last part of a stop although its head
// has arrived, and against one whose body cannot be read and that counts as an answer.
func TestEndRequests(t *testing.T) {
	is := is.New(t)
	s := call.NewStopper()
	var body context.Context
	resp, refusal := s.Do(t.Context(), answerThen(func() {}, &body))
	is.True(resp != nil && refusal == nil)
	s.EndRequests()
	is.NoErr(body.Err()) // it is still being read

	s = call.NewStopper()
	resp, refusal = s.Do(t.Context(), answerThen(s.EndRequests, &body))
	is.True(resp == nil)
	is.Equal(refusal.Outcome, outcome.Unknown)

	_, refusal = s.Do(t.Context(), func(ctx context.Context) (*call.Response, *outcome.Refusal) {
		<-ctx.Done() // at once, since requests have been ended
		is.True(httpserver.IsStopping(ctx))
		return nil, outcome.NewNotRun(outcome.ReasonDraining, "")
	})
	is.Equal(refusal.Outcome, outcome.NotRun)

	resp, refusal = (*call.Stopper)(nil).Do(t.Context(), answerThen(func() {}, &body))
	is.True(resp != nil && refusal == nil)
}
