// Package controlfake is an operator.ControlPlane in memory for tests.
package controlfake

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/operator"
)

// Control keeps documents by revision and records every action.
type Control struct {
	mu      sync.Mutex
	changes []operator.Change
	texts   []string
	byID    map[string]uint64
	actions []any
	done    map[string]operator.Result

	// Fail, if set, is returned once by the next call.
	Fail error
	// LoseAnswer makes the next Apply take effect and then return CodeUnknown.
	LoseAnswer bool
	// State is what Status returns, with the newest revision filled in.
	State operator.Status
	// Moved is what Preview reports.
	Moved int
}

// New returns a Control with one document, or none if text is empty.
func New(text string) *Control {
	c := &Control{byID: map[string]uint64{}, done: map[string]operator.Result{}}
	if text != "" {
		c.accept(operator.ApplyRequest{ChangeID: "first", Author: "setup", Text: text})
	}
	return c
}

func (c *Control) accept(r operator.ApplyRequest) uint64 {
	revision := uint64(len(c.texts) + 1)
	c.texts = append(c.texts, r.Text)
	c.changes = append(c.changes, operator.Change{Revision: revision, Author: r.Author, ChangeID: r.ChangeID, At: time.Unix(1_800_000_000, 0).UTC()})
	c.byID[r.ChangeID] = revision
	return revision
}

// Actions returns the recorded actions in order.
func (c *Control) Actions() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]any(nil), c.actions...)
}

// Newest returns the newest revision and its text.
func (c *Control) Newest() (uint64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.texts) == 0 {
		return 0, ""
	}
	return uint64(len(c.texts)), c.texts[len(c.texts)-1]
}

// SetFail makes the next call return err.
func (c *Control) SetFail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Fail = err
}

func (c *Control) failed() error {
	err := c.Fail
	c.Fail = nil
	return err
}

// Apply implements operator.ControlPlane.
func (c *Control) Apply(_ context.Context, r operator.ApplyRequest) (operator.ApplyReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.failed(); err != nil {
		return operator.ApplyReply{}, err
	}
	if revision, again := c.byID[r.ChangeID]; again {
		return operator.ApplyReply{Revision: revision}, nil
	}
	if current := uint64(len(c.texts)); r.Base != current {
		last := c.changes[current-1]
		return operator.ApplyReply{Conflict: &operator.Conflict{Revision: current, Author: last.Author, Text: c.texts[current-1]}}, nil
	}
	revision := c.accept(r)
	if c.LoseAnswer {
		c.LoseAnswer = false
		return operator.ApplyReply{}, &operator.Error{Code: operator.CodeUnknown, Text: "the answer was lost"}
	}
	return operator.ApplyReply{Revision: revision}, nil
}

// Preview implements operator.ControlPlane.
func (c *Control) Preview(_ context.Context, text string) (operator.PreviewReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.failed(); err != nil {
		return operator.PreviewReply{}, err
	}
	before := ""
	if n := len(c.texts); n > 0 {
		before = c.texts[n-1]
	}
	return operator.PreviewReply{
		Base: uint64(len(c.texts)), UnitsMoved: c.Moved, LoadMoved: 0.25,
		Diff: document.Compare(before, text),
	}, nil
}

// History implements operator.ControlPlane.
func (c *Control) History(context.Context) ([]operator.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []operator.Change{}
	for i := len(c.changes) - 1; i >= 0; i-- {
		out = append(out, c.changes[i])
	}
	return out, c.failed()
}

// Document implements operator.ControlPlane.
func (c *Control) Document(_ context.Context, revision uint64) (operator.DocumentReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.failed(); err != nil {
		return operator.DocumentReply{}, err
	}
	if revision == 0 {
		revision = uint64(len(c.texts))
	}
	if revision == 0 {
		return operator.DocumentReply{}, nil
	}
	if revision > uint64(len(c.texts)) {
		return operator.DocumentReply{}, &operator.Error{Code: operator.CodeNotFound, Text: fmt.Sprintf("there is no revision %d", revision)}
	}
	change := c.changes[revision-1]
	return operator.DocumentReply{Revision: revision, Author: change.Author, At: change.At, Text: c.texts[revision-1]}, nil
}

// act records an action and answers a resend as already done.
func (c *Control) act(id string, request any, text string) (operator.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.failed(); err != nil {
		return operator.Result{}, err
	}
	if result, again := c.done[id]; again && id != "" {
		result.Already = true
		return result, nil
	}
	c.actions = append(c.actions, request)
	result := operator.Result{Text: text}
	c.done[id] = result
	return result, nil
}

// Drain implements operator.ControlPlane.
func (c *Control) Drain(_ context.Context, r operator.DrainRequest) (operator.Result, error) {
	if r.On {
		return c.act(r.ChangeID, r, fmt.Sprintf("%s %s is being drained.", r.Scope, r.Name))
	}
	return c.act(r.ChangeID, r, fmt.Sprintf("%s %s is back in service.", r.Scope, r.Name))
}

// Move implements operator.ControlPlane.
func (c *Control) Move(_ context.Context, r operator.MoveRequest) (operator.Result, error) {
	return c.act(r.ChangeID, r, "The move of "+r.Unit+" to "+r.To+" has started.")
}

// Split implements operator.ControlPlane.
func (c *Control) Split(_ context.Context, r operator.SplitRequest) (operator.Result, error) {
	return c.act(r.ChangeID, r, "The key has a unit of its own.")
}

// Merge implements operator.ControlPlane.
func (c *Control) Merge(_ context.Context, r operator.MergeRequest) (operator.Result, error) {
	return c.act(r.ChangeID, r, "The key is back in its shard.")
}

// Automation implements operator.ControlPlane.
func (c *Control) Automation(_ context.Context, r operator.AutomationRequest) (operator.AutomationReply, error) {
	reply := operator.AutomationReply{Switches: config.AllAutomation(), Pending: c.State.Pending}
	if r.Op == operator.AutomationList {
		return reply, nil
	}
	var err error
	reply.Result, err = c.act(r.ChangeID, r, "Recorded.")
	return reply, err
}

// ControlChange implements operator.ControlPlane.
func (c *Control) ControlChange(_ context.Context, r operator.ControlChangeRequest) (operator.Result, error) {
	return c.act(r.ChangeID, r, "The control group has changed.")
}

// Status implements operator.ControlPlane.
func (c *Control) Status(context.Context) (operator.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.State
	s.Config.Revision = uint64(len(c.texts))
	return s, c.failed()
}

// Dump implements operator.ControlPlane.
func (c *Control) Dump(_ context.Context, member string) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.failed(); err != nil {
		return nil, err
	}
	return json.Marshal(map[string]string{"member": member})
}
