package operatorrpc

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// Caller calls other processes. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Client passes operators' requests to the control leader.
type Client struct {
	caller Caller
	// addrs are the peer addresses of the control replicas.
	addrs []string
	// hint returns the leader's address as far as it is known.
	hint func() string
}

// NewRemote returns a Client that works from any process.
func NewRemote(caller Caller, addrs []string, hint func() string) *Client {
	return &Client{caller: caller, addrs: addrs, hint: hint}
}

const (
	// attemptTimeout bounds one try; commits take milliseconds.
	attemptTimeout = 3 * time.Second
	// searchTime bounds the search for a leader; an election takes 0.5 s.
	searchTime = 5 * time.Second
	// searchPause is the wait between two rounds over all replicas.
	searchPause = 100 * time.Millisecond
)

// ask calls a method at the leader. A lost answer is reported as CodeUnknown:
// the operator sends the same change again.
func ask[P, R any](ctx context.Context, r *Client, method string, params P) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, searchTime)
	defer cancel()
	var zero R
	addr := r.hint()
	for tries := 0; ; tries++ {
		if addr == "" {
			addr = r.addrs[tries%len(r.addrs)]
		}
		reply, next, err := try[P, R](ctx, r, addr, method, params)
		var typed *operator.Error
		if err == nil || errors.As(err, &typed) {
			return reply, err
		}
		addr = next
		if addr == "" && tries%len(r.addrs) == len(r.addrs)-1 && !pause(ctx) {
			return zero, &operator.Error{Code: operator.CodeUnavailable, Text: "no control leader answers: " + err.Error()}
		}
		if ctx.Err() != nil {
			return zero, &operator.Error{Code: operator.CodeUnavailable, Text: "no control leader answers: " + err.Error()}
		}
	}
}

// try makes one call. It returns the address to try next, if it is known.
func try[P, R any](ctx context.Context, r *Client, addr, method string, params P) (R, string, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var env envelope[R]
	err := r.caller.Call(ctx, addr, method, params, &env)
	var nl *peer.NotLeaderError
	switch {
	case err == nil && env.Error != nil:
		return env.Reply, "", env.Error
	case err == nil:
		return env.Reply, "", nil
	case errors.As(err, &nl):
		return env.Reply, nl.Leader, err
	case errors.Is(err, context.DeadlineExceeded):
		return env.Reply, "", &operator.Error{Code: operator.CodeUnknown, Text: "the leader's answer did not arrive; give the same command again"}
	default:
		return env.Reply, "", err
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(searchPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// Apply implements operator.ControlPlane.
func (c *Client) Apply(ctx context.Context, q operator.ApplyRequest) (operator.ApplyReply, error) {
	return ask[operator.ApplyRequest, operator.ApplyReply](ctx, c, methodApply, q)
}

// Preview implements operator.ControlPlane.
func (c *Client) Preview(ctx context.Context, text string) (operator.PreviewReply, error) {
	return ask[string, operator.PreviewReply](ctx, c, methodPreview, text)
}

// History implements operator.ControlPlane.
func (c *Client) History(ctx context.Context) ([]operator.Change, error) {
	return ask[none, []operator.Change](ctx, c, methodHistory, none{})
}

// Document implements operator.ControlPlane.
func (c *Client) Document(ctx context.Context, revision uint64) (operator.DocumentReply, error) {
	return ask[uint64, operator.DocumentReply](ctx, c, methodDocument, revision)
}

// Drain implements operator.ControlPlane.
func (c *Client) Drain(ctx context.Context, q operator.DrainRequest) (operator.Result, error) {
	return ask[operator.DrainRequest, operator.Result](ctx, c, methodDrain, q)
}

// Move implements operator.ControlPlane.
func (c *Client) Move(ctx context.Context, q operator.MoveRequest) (operator.Result, error) {
	return ask[operator.MoveRequest, operator.Result](ctx, c, methodMove, q)
}

// Split implements operator.ControlPlane.
func (c *Client) Split(ctx context.Context, q operator.SplitRequest) (operator.Result, error) {
	return ask[operator.SplitRequest, operator.Result](ctx, c, methodSplit, q)
}

// Merge implements operator.ControlPlane.
func (c *Client) Merge(ctx context.Context, q operator.MergeRequest) (operator.Result, error) {
	return ask[operator.MergeRequest, operator.Result](ctx, c, methodMerge, q)
}

// Automation implements operator.ControlPlane.
func (c *Client) Automation(ctx context.Context, q operator.AutomationRequest) (operator.AutomationReply, error) {
	return ask[operator.AutomationRequest, operator.AutomationReply](ctx, c, methodAutomation, q)
}

// ControlChange implements operator.ControlPlane.
func (c *Client) ControlChange(ctx context.Context, q operator.ControlChangeRequest) (operator.Result, error) {
	return ask[operator.ControlChangeRequest, operator.Result](ctx, c, methodControl, q)
}

// Status implements operator.ControlPlane.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return ask[none, operator.Status](ctx, c, methodStatus, none{})
}

// Dump implements operator.ControlPlane.
func (c *Client) Dump(ctx context.Context, member string) (json.RawMessage, error) {
	return ask[string, json.RawMessage](ctx, c, methodDump, member)
}
