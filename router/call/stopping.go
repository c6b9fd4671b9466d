package call

import (
	"context"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/httpserver"
)

// Stopper ends the requests in progress of a process that stops, so that their callers get
// a true failure before the process ends. Its methods may be called concurrently. A nil
// Stopper ends none.
type Stopper struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// NewStopper returns a Stopper.
func NewStopper() *Stopper {
	s := &Stopper{}
	s.ctx, s.end = context.WithCancelCause(context.Background())
	return s
}

// EndRequests ends the contexts of the calls of Do that are in progress, and of all later
// ones, with the cause httpserver.ErrStopping.
func (s *Stopper) EndRequests() { s.end(httpserver.ErrStopping) }

// Do runs do with a context that EndRequests ends, until do returns: the body of the
// response can be read to its end after that. If EndRequests was called at the same moment
// the response is dropped.
func (s *Stopper) Do(ctx context.Context, do func(context.Context) (*Response, *outcome.Refusal)) (*Response, *outcome.Refusal) {
	if s == nil {
		return do(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.ctx, func() { cancel(httpserver.ErrStopping) })
	resp, refusal := do(ctx)
	if release() || refusal != nil {
		return resp, refusal
	}
	_ = resp.Body.Close() // its context has ended, so that it cannot be read completely
	return nil, outcome.NewUnknown(outcome.ReasonUpstreamBroken, httpserver.ErrStopping.Error())
}
