// Package grantcall sends the calls that grant key ranges to a target and release
// them, over HTTP. The program that embeds it defines paths and bodies. It belongs to
// the fleet mode.
package grantcall

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bramleyquay.example/coord/grant"
	"bramleyquay.example/router/httpclient"
)

// Format says how calls are written. Both are POST requests with a JSON body.
type Format struct {
	GrantPath, ReleasePath string
	// Body returns the value that is encoded as the body of a call.
	Body func(grant.Call) any
	// HandoverHeader is the header with the handover token in the answer to a
	// release. TargetHeader names the target that a call is meant for.
	HandoverHeader, TargetHeader string
	// RequestIDHeader names the header with the id of a call, which answers echo. The
	// answers of a target that echoes none are attributed by their connections: each
	// call gets one of its own.
	RequestIDHeader string
}

// Client sends calls to one target. It is safe for concurrent use.
type Client struct {
	format  Format
	address string
	client  *httpclient.Client
	// prefix and calls make the ids of calls.
	prefix string
	calls  atomic.Uint64
}

const (
	// idleTimeout is the time for which an idle connection can be reused. It is
	// longer than the time between two renewals of a grant.
	idleTimeout = 4 * time.Second
	dialTimeout = 300 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer, which is not used.
	maxAnswerBytes = 64 << 10
)

// New returns a client for the target at an address.
func New(address string, format Format) *Client {
	prefix := strconv.FormatUint(rand.Uint64(), 36) + "-"
	return &Client{format: format, address: address, prefix: prefix, client: httpclient.New(httpclient.Config{
		Address: address, RequestIDHeader: format.RequestIDHeader, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxBody: maxAnswerBytes,
		ResetOnCancel: true, FailOnRestart: true,
	})}
}

// Resume lets calls be sent again after one failed because the target may have been
// restarted.
func (c *Client) Resume() { c.client.Resume() }

// CallTarget sends a call and returns what is known about its effect. If ctx ends
// first, the connection is reset: bytes of the call that have not arrived yet do not
// arrive later.
func (c *Client) CallTarget(ctx context.Context, call grant.Call) grant.CallResult {
	body, err := json.Marshal(c.format.Body(call))
	if err != nil {
		return grant.CallResult{Outcome: grant.CallNotSent, Cause: err}
	}
	path := c.format.GrantPath
	if call.Kind == grant.ReleaseCall {
		path = c.format.ReleasePath
	}
	id := c.prefix + strconv.FormatUint(c.calls.Add(1), 10)
	resp, err := c.client.Do(ctx, &httpclient.Request{
		Method: http.MethodPost, URI: path, Host: c.address, Body: body, ID: id,
		Header: http.Header{"Content-Type": {"application/json"}, c.format.TargetHeader: {call.Target}, c.format.RequestIDHeader: {id}},
	})
	if err != nil {
		return failed(ctx, err)
	}
	return c.result(resp)
}

// failed returns the result of a call without an answer.
func failed(ctx context.Context, err error) grant.CallResult {
	var unsent *httpclient.NotSentError
	if errors.As(err, &unsent) {
		return grant.CallResult{Outcome: grant.CallNotSent, Cause: err, ConnectionLost: ctx.Err() == nil, Refused: unsent.Refused}
	}
	return grant.CallResult{Outcome: grant.CallLost, Cause: err, ConnectionLost: ctx.Err() == nil}
}

// result translates the answer to a call. After a server error the call may have
// taken effect.
func (c *Client) result(resp *httpclient.Response) grant.CallResult {
	switch {
	case resp.Status >= 200 && resp.Status < 300:
		return grant.CallResult{Outcome: grant.CallDone, HandoverToken: handoverToken(resp.Header.Get(c.format.HandoverHeader))}
	case resp.Status == http.StatusConflict:
		return grant.CallResult{Outcome: grant.CallFenced}
	case resp.Status >= 400 && resp.Status < 500:
		return grant.CallResult{Outcome: grant.CallRejected, Cause: errStatus(resp.Status)}
	}
	return grant.CallResult{Outcome: grant.CallLost, Cause: errStatus(resp.Status)}
}

// handoverToken returns the token in an answer to a release, or none if it cannot be passed on:
// the keys are released either way, and are slow at first for their next holder.
func handoverToken(header string) string {
	if !grant.IsToken(header) {
		return ""
	}
	return header
}

// errStatus is an answer with a status that does not say that the call took effect.
type errStatus int

// Error implements error.
func (e errStatus) Error() string { return "answered with status " + http.StatusText(int(e)) }
