package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"bramleyquay.example/router/operator"
)

// Client offers the daemon's control plane remotely.
var _ operator.ControlPlane = (*Client)(nil)

// Apply implements operator.ControlPlane.
func (c *Client) Apply(ctx context.Context, request operator.ApplyRequest) (reply operator.ApplyReply, err error) {
	err = c.call(ctx, http.MethodPost, "/apply", request, &reply, http.StatusConflict, http.StatusUnprocessableEntity)
	return reply, err
}

// Preview implements operator.ControlPlane.
func (c *Client) Preview(ctx context.Context, text string) (reply operator.PreviewReply, err error) {
	err = c.call(ctx, http.MethodPost, "/preview", operator.PreviewRequest{Text: text}, &reply)
	return reply, err
}

// History implements operator.ControlPlane.
func (c *Client) History(ctx context.Context) (reply []operator.Change, err error) {
	err = c.call(ctx, http.MethodGet, "/history", nil, &reply)
	return reply, err
}

// Document implements operator.ControlPlane.
func (c *Client) Document(ctx context.Context, revision uint64) (reply operator.DocumentReply, err error) {
	err = c.call(ctx, http.MethodGet, "/document/"+strconv.FormatUint(revision, 10), nil, &reply)
	return reply, err
}

// Drain implements operator.ControlPlane.
func (c *Client) Drain(ctx context.Context, request operator.DrainRequest) (reply operator.Result, err error) {
	err = c.call(ctx, http.MethodPost, "/drain", request, &reply)
	return reply, err
}

// Move implements operator.ControlPlane.
func (c *Client) Move(ctx context.Context, request operator.MoveRequest) (reply operator.Result, err error) {
	err = c.call(ctx, http.MethodPost, "/move", request, &reply)
	return reply, err
}

// Split implements operator.ControlPlane.
func (c *Client) Split(ctx context.Context, request operator.SplitRequest) (reply operator.Result, err error) {
	err = c.call(ctx, http.MethodPost, "/split", request, &reply)
	return reply, err
}

// Merge implements operator.ControlPlane.
func (c *Client) Merge(ctx context.Context, request operator.MergeRequest) (reply operator.Result, err error) {
	err = c.call(ctx, http.MethodPost, "/merge", request, &reply)
	return reply, err
}

// Automation implements operator.ControlPlane.
func (c *Client) Automation(ctx context.Context, request operator.AutomationRequest) (reply operator.AutomationReply, err error) {
	err = c.call(ctx, http.MethodPost, "/automation", request, &reply)
	return reply, err
}

// ControlChange implements operator.ControlPlane.
func (c *Client) ControlChange(ctx context.Context, request operator.ControlChangeRequest) (reply operator.Result, err error) {
	err = c.call(ctx, http.MethodPost, "/control", request, &reply)
	return reply, err
}

// Status implements operator.ControlPlane.
func (c *Client) Status(ctx context.Context) (reply operator.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/status", nil, &reply)
	return reply, err
}

// Dump implements operator.ControlPlane.
func (c *Client) Dump(ctx context.Context, member string) (reply json.RawMessage, err error) {
	err = c.call(ctx, http.MethodGet, "/dump/"+url.PathEscape(member), nil, &reply)
	return reply, err
}
