package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramleyquay.example/router/daemon"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/settings"
)

// callOperator calls the operator API of any control process and retries until one
// accepts or refuses the request, or ctx ends.
func (c *Cluster) callOperator(ctx context.Context, method, path string, in, out any) error {
	var last error
	for ctx.Err() == nil {
		for i := range c.Control {
			// A frozen process does not answer, so the one that answered last is
			// tried first.
			index := (int(c.lastAnswered.Load()) + i) % len(c.Control)
			last = c.callOperatorOn(ctx, c.Control[index], method, path, in, out)
			if last == nil {
				c.lastAnswered.Store(int64(index))
			}
			var refused *refusedError
			if last == nil || errors.As(last, &refused) {
				return last
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s: %w (last: %v)", path, ctx.Err(), last)
}

// callOperatorOn makes one attempt at one control replica, for at most 3 s. The error
// is a *refusedError for a status from 400 to 499 other than 421, with which a replica
// answers that it is not the leader.
func (c *Cluster) callOperatorOn(ctx context.Context, n *Node, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Operator+"/api/v1"+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operator.Token(settings.NewSecret(c.Secret)))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusMisdirectedRequest {
		return &refusedError{text: fmt.Sprintf("%s: %s: %s", path, resp.Status, bytes.TrimSpace(data))}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s: %s: %s", path, resp.Status, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, out)
}

// refusedError is an answer that a retry would not change.
type refusedError struct{ text string }

// Error implements error.
func (e *refusedError) Error() string { return e.text }

// Apply applies a configuration document on top of the revision base. A document with
// errors and a conflict with another change are errors, because the operator API
// refuses them with status 422 and 409.
func (c *Cluster) Apply(ctx context.Context, base uint64, changeID, text string) (operator.ApplyReply, error) {
	var reply operator.ApplyReply
	err := c.callOperator(ctx, http.MethodPost, "/apply", operator.ApplyRequest{Base: base, ChangeID: changeID, Author: "harness", Text: text}, &reply)
	return reply, err
}

// Drain takes an instance, target or data centre out of service if on is set, and
// returns it to service otherwise.
func (c *Cluster) Drain(ctx context.Context, scope operator.Scope, name string, on bool) error {
	var reply operator.Result
	q := operator.DrainRequest{Scope: scope, Name: name, On: on, ChangeID: fmt.Sprintf("drain-%s-%t-%d", name, on, time.Now().UnixNano()), Author: "harness"}
	return c.callOperator(ctx, http.MethodPost, "/drain", q, &reply)
}

// Status returns the state of the cluster from the control leader.
func (c *Cluster) Status(ctx context.Context) (operator.Status, error) {
	var st operator.Status
	err := c.callOperator(ctx, http.MethodGet, "/status", nil, &st)
	return st, err
}

// Dump returns the state that the process reports at /dump.
func (n *Node) Dump(ctx context.Context) (daemon.Dump, error) {
	var d daemon.Dump
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Admin+"/dump", nil)
	if err != nil {
		return d, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	return d, json.NewDecoder(resp.Body).Decode(&d)
}

// AwaitReady waits until the process reports at /healthz that it is in contact with
// control and has a configuration. ctx does not bound an attempt in progress, which
// blocks while the process is frozen.
func (n *Node) AwaitReady(ctx context.Context) error {
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + n.Admin + "/healthz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // only the status counts
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready: %w", n.ID, ctx.Err())
}

// AwaitServing waits until all targets are active, every unit has a serving owner
// and all members have applied the newest configuration.
func (c *Cluster) AwaitServing(ctx context.Context) error {
	return c.AwaitServingTargets(ctx, len(c.Nodes))
}

// AwaitServingTargets is AwaitServing, but only the given number of targets must be
// active.
func (c *Cluster) AwaitServingTargets(ctx context.Context, targets int) error {
	why := "no status yet"
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		st, err := c.Status(ctx)
		if err != nil {
			why = err.Error()
			continue
		}
		if why = notServing(st, targets); why == "" {
			return nil
		}
	}
	return fmt.Errorf("the cluster is not serving: %s", why)
}

// notServing returns what AwaitServing still waits for, or "".
func notServing(st operator.Status, targets int) string {
	active := 0
	for _, m := range st.Members {
		if m.Service != "" && m.State == "active" {
			active++
		}
	}
	if active < targets {
		return fmt.Sprintf("%d of %d targets are active", active, targets)
	}
	for _, s := range st.Services {
		if s.Unserved > 0 {
			return fmt.Sprintf("service %s has %d units without owner", s.Name, s.Unserved)
		}
	}
	if !st.Config.Everywhere {
		return "not all members have applied the newest configuration"
	}
	return ""
}

// Leader returns the node of the control leader.
func (c *Cluster) Leader(ctx context.Context) (*Node, error) {
	st, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, n := range c.Control {
		if st.Leader == n.ID {
			return n, nil
		}
	}
	return nil, fmt.Errorf("leader %q is not a node of the layout", st.Leader)
}
