// Package controlfake implements operator.ControlPlane in memory, for tests.
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

// Control stores the revisions of the document and records every action. It is
// safe for concurrent use, apart from its exported fields.
type Control struct {
	mu                 sync.Mutex
	changes            []operator.Change
	texts              []string
	revisionByChangeID map[string]uint64
	actions            []any
	resultByChangeID   map[string]operator.Result

	// Fail is returned once, by the next call other than Automation with
	// AutomationList.
	Fail error
	// LoseResponse makes the next accepted Apply store its revision and then return
	// CodeUnknown.
	LoseResponse bool
	// State is returned by Status with the newest revision filled in.
	State operator.Status
	// Moved is the number of moved units that Preview returns, always with a
	// LoadMoved of 0.25.
	Moved int
}

// New returns a Control with one document, or none if text is empty.
func New(text string) *Control {
	c := &Control{revisionByChangeID: map[string]uint64{}, resultByChangeID: map[string]operator.Result{}}
	if text != "" {
		c.addRevision(operator.ApplyRequest{ChangeID: "first", Author: "setup", Text: text})
	}
	return c
}

func (c *Control) addRevision(r operator.ApplyRequest) uint64 {
	revision := uint64(len(c.texts) + 1)
	c.texts = append(c.texts, r.Text)
	c.changes = append(c.changes, operator.Change{Revision: revision, Author: r.Author, ChangeID: r.ChangeID, At: time.Unix(1_800_000_000, 0).UTC()})
	c.revisionByChangeID[r.ChangeID] = revision
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

// SetFail sets Fail while calls may be in progress.
func (c *Control) SetFail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Fail = err
}

// takeFailure returns and clears Fail.
func (c *Control) takeFailure() error {
	err := c.Fail
	c.Fail = nil
	return err
}

// Apply implements operator.ControlPlane.
func (c *Control) Apply(_ context.Context, r operator.ApplyRequest) (operator.ApplyReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.takeFailure(); err != nil {
		return operator.ApplyReply{}, err
	}
	if revision, found := c.revisionByChangeID[r.ChangeID]; found {
		return operator.ApplyReply{Revision: revision}, nil
	}
	if current := uint64(len(c.texts)); r.Base != current {
		last := c.changes[current-1]
		return operator.ApplyReply{Conflict: &operator.Conflict{Revision: current, Author: last.Author, Text: c.texts[current-1]}}, nil
	}
	revision := c.addRevision(r)
	if c.LoseResponse {
		c.LoseResponse = false
		return operator.ApplyReply{}, &operator.Error{Code: operator.CodeUnknown, Text: "the answer was lost"}
	}
	return operator.ApplyReply{Revision: revision}, nil
}

// Preview implements operator.ControlPlane.
func (c *Control) Preview(_ context.Context, text string) (operator.PreviewReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.takeFailure(); err != nil {
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
	return out, c.takeFailure()
}

// Document implements operator.ControlPlane.
func (c *Control) Document(_ context.Context, revision uint64) (operator.DocumentReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.takeFailure(); err != nil {
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

// record records an action. For a retry it returns the first result with Already
// set.
func (c *Control) record(id string, request any, text string) (operator.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.takeFailure(); err != nil {
		return operator.Result{}, err
	}
	if result, found := c.resultByChangeID[id]; found && id != "" {
		result.Already = true
		return result, nil
	}
	c.actions = append(c.actions, request)
	result := operator.Result{Text: text}
	c.resultByChangeID[id] = result
	return result, nil
}

// Drain implements operator.ControlPlane.
func (c *Control) Drain(_ context.Context, r operator.DrainRequest) (operator.Result, error) {
	if r.On {
		return c.record(r.ChangeID, r, fmt.Sprintf("%s %s is being drained.", r.Scope, r.Name))
	}
	return c.record(r.ChangeID, r, fmt.Sprintf("%s %s is back in service.", r.Scope, r.Name))
}

// Move implements operator.ControlPlane.
func (c *Control) Move(_ context.Context, r operator.MoveRequest) (operator.Result, error) {
	return c.record(r.ChangeID, r, "The move of "+r.Unit+" to "+r.To+" has started.")
}

// Split implements operator.ControlPlane.
func (c *Control) Split(_ context.Context, r operator.SplitRequest) (operator.Result, error) {
	return c.record(r.ChangeID, r, "The key has a unit of its own.")
}

// Merge implements operator.ControlPlane.
func (c *Control) Merge(_ context.Context, r operator.MergeRequest) (operator.Result, error) {
	return c.record(r.ChangeID, r, "The key is back in its shard.")
}

// Automation implements operator.ControlPlane.
func (c *Control) Automation(_ context.Context, r operator.AutomationRequest) (operator.AutomationReply, error) {
	reply := operator.AutomationReply{Switches: config.AllAutomation(), Pending: c.State.Pending}
	if r.Op == operator.AutomationList {
		return reply, nil
	}
	var err error
	reply.Result, err = c.record(r.ChangeID, r, "Recorded.")
	return reply, err
}

// ControlChange implements operator.ControlPlane.
func (c *Control) ControlChange(_ context.Context, r operator.ControlChangeRequest) (operator.Result, error) {
	return c.record(r.ChangeID, r, "The control group has changed.")
}

// Status implements operator.ControlPlane.
func (c *Control) Status(context.Context) (operator.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.State
	s.Config.Revision = uint64(len(c.texts))
	return s, c.takeFailure()
}

// Dump implements operator.ControlPlane.
func (c *Control) Dump(_ context.Context, member string) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.takeFailure(); err != nil {
		return nil, err
	}
	return json.Marshal(map[string]string{"member": member})
}
