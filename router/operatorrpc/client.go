package operatorrpc

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// RPCClient calls RPC methods of other processes. *peer.Client implements it.
type RPCClient interface {
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Client implements operator.ControlPlane by forwarding each request to the
// control leader. Methods block for up to searchTimeout.
type Client struct {
	rpc RPCClient
	// addrs are the peer addresses of the control replicas.
	addrs []string
	// hint returns the peer address of the last known leader, or an empty string.
	hint func() string
}

// NewClient returns a Client that calls the control replicas at addrs, which
// must not be empty. hint returns the last known leader's address, or an empty
// string; the first attempt of a request goes there.
func NewClient(rpc RPCClient, addrs []string, hint func() string) *Client {
	return &Client{rpc: rpc, addrs: addrs, hint: hint}
}

const (
	// attemptTimeout bounds one call; a commit takes milliseconds.
	attemptTimeout = 3 * time.Second
	// searchTimeout bounds all attempts of one request; an election takes 0.5 s.
	searchTimeout = 5 * time.Second
	// retryInterval is the wait after every replica was called once.
	retryInterval = 100 * time.Millisecond
)

// callLeader calls a method on the leader. It follows the leader's address in
// errors and otherwise calls one replica after the other. After any other error,
// such as a connection that broke during the call, it sends the same request to the
// next replica; the change id prevents a second effect. A call without a response in
// time is returned as CodeUnknown and not retried here; the operator can retry with
// the same change id. If no replica answers until searchTimeout, the error has
// CodeUnavailable, although a call whose connection broke may have been accepted.
func callLeader[P, R any](ctx context.Context, c *Client, method string, params P) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var zero R
	addr := c.hint()
	for tries := 0; ; tries++ {
		if addr == "" {
			addr = c.addrs[tries%len(c.addrs)]
		}
		reply, next, err := callOnce[P, R](ctx, c, addr, method, params)
		var opErr *operator.Error
		if err == nil || errors.As(err, &opErr) {
			return reply, err
		}
		addr = next
		if addr == "" && tries%len(c.addrs) == len(c.addrs)-1 && !waitForRetry(ctx) {
			return zero, &operator.Error{Code: operator.CodeUnavailable, Text: "no control leader answers: " + err.Error()}
		}
		if ctx.Err() != nil {
			return zero, &operator.Error{Code: operator.CodeUnavailable, Text: "no control leader answers: " + err.Error()}
		}
	}
}

// callOnce makes one call, bounded by attemptTimeout. It returns the leader's
// address if the called replica does not lead and knows it, and otherwise an empty
// string. If no response arrives in time, the error is an *operator.Error with
// CodeUnknown.
func callOnce[P, R any](ctx context.Context, c *Client, addr, method string, params P) (R, string, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var env envelope[R]
	err := c.rpc.Call(ctx, addr, method, params, &env)
	var notLeader *peer.NotLeaderError
	switch {
	case err == nil && env.Error != nil:
		return env.Reply, "", env.Error
	case err == nil:
		return env.Reply, "", nil
	case errors.As(err, &notLeader):
		return env.Reply, notLeader.Leader, err
	case errors.Is(err, context.DeadlineExceeded):
		return env.Reply, "", &operator.Error{Code: operator.CodeUnknown, Text: "the leader's answer did not arrive; give the same command again"}
	default:
		return env.Reply, "", err
	}
}

// waitForRetry waits for retryInterval. It reports false if ctx ended first.
func waitForRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// Apply implements operator.ControlPlane.
func (c *Client) Apply(ctx context.Context, req operator.ApplyRequest) (operator.ApplyReply, error) {
	return callLeader[operator.ApplyRequest, operator.ApplyReply](ctx, c, methodApply, req)
}

// Preview implements operator.ControlPlane.
func (c *Client) Preview(ctx context.Context, text string) (operator.PreviewReply, error) {
	return callLeader[string, operator.PreviewReply](ctx, c, methodPreview, text)
}

// History implements operator.ControlPlane.
func (c *Client) History(ctx context.Context) ([]operator.Change, error) {
	return callLeader[noParams, []operator.Change](ctx, c, methodHistory, noParams{})
}

// Document implements operator.ControlPlane.
func (c *Client) Document(ctx context.Context, revision uint64) (operator.DocumentReply, error) {
	return callLeader[uint64, operator.DocumentReply](ctx, c, methodDocument, revision)
}

// Drain implements operator.ControlPlane.
func (c *Client) Drain(ctx context.Context, req operator.DrainRequest) (operator.Result, error) {
	return callLeader[operator.DrainRequest, operator.Result](ctx, c, methodDrain, req)
}

// Move implements operator.ControlPlane.
func (c *Client) Move(ctx context.Context, req operator.MoveRequest) (operator.Result, error) {
	return callLeader[operator.MoveRequest, operator.Result](ctx, c, methodMove, req)
}

// Split implements operator.ControlPlane.
func (c *Client) Split(ctx context.Context, req operator.SplitRequest) (operator.Result, error) {
	return callLeader[operator.SplitRequest, operator.Result](ctx, c, methodSplit, req)
}

// Merge implements operator.ControlPlane.
func (c *Client) Merge(ctx context.Context, req operator.MergeRequest) (operator.Result, error) {
	return callLeader[operator.MergeRequest, operator.Result](ctx, c, methodMerge, req)
}

// Automation implements operator.ControlPlane.
func (c *Client) Automation(ctx context.Context, req operator.AutomationRequest) (operator.AutomationReply, error) {
	return callLeader[operator.AutomationRequest, operator.AutomationReply](ctx, c, methodAutomation, req)
}

// ControlChange implements operator.ControlPlane.
func (c *Client) ControlChange(ctx context.Context, req operator.ControlChangeRequest) (operator.Result, error) {
	return callLeader[operator.ControlChangeRequest, operator.Result](ctx, c, methodControl, req)
}

// Status implements operator.ControlPlane.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return callLeader[noParams, operator.Status](ctx, c, methodStatus, noParams{})
}

// Dump implements operator.ControlPlane.
func (c *Client) Dump(ctx context.Context, member string) (json.RawMessage, error) {
	return callLeader[string, json.RawMessage](ctx, c, methodDump, member)
}
