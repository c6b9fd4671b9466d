package control

import (
	"fmt"
	"maps"
	"slices"
)

// maxActions bounds the pending actions. Operators cannot review more, and the
// leader proposes the others once some are approved or dismissed.
const maxActions = 1_000

// PendingAction is an action that waits for an operator's approval.
type PendingAction struct {
	ProposedAction
	// Index is the log index at which the action was proposed.
	Index uint64 `json:"index" cbor:"5,keyasint"`
}

// Actions returns the pending actions by ascending id.
func (s *State) Actions() []PendingAction {
	out := make([]PendingAction, 0, len(s.actions))
	for _, id := range slices.Sorted(maps.Keys(s.actions)) {
		out = append(out, s.actions[id])
	}
	return out
}

func (s *State) proposeAction(c *ProposeAction) Result {
	if c.Action.ID == "" || len(c.Action.Commands) == 0 {
		return refuse(RefusedInvalid, "an action needs an id and commands")
	}
	if _, known := s.actions[c.Action.ID]; !known && len(s.actions) >= maxActions {
		return refuse(RefusedNotReady, fmt.Sprintf("%d actions are pending", maxActions))
	}
	s.actions[c.Action.ID] = PendingAction{ProposedAction: c.Action, Index: s.index}
	return Result{}
}

func (s *State) approveAction(e *edit, c *ApproveAction) Result {
	a, ok := s.actions[c.ID]
	if !ok {
		return refuse(RefusedNotFound, fmt.Sprintf("no action %q is pending", c.ID))
	}
	delete(s.actions, c.ID)
	done := 0
	var last Result
	for _, inner := range a.Commands {
		if inner.ApproveAction != nil || inner.ProposeAction != nil {
			continue // actions do not nest
		}
		if last = s.dispatch(e, inner); last.Accepted() {
			done++
		}
	}
	if done == 0 {
		return refuse(RefusedStale, fmt.Sprintf("action %q no longer fits: %s", c.ID, last.Detail))
	}
	return Result{}
}

func (s *State) dismissAction(c *DismissAction) Result {
	if _, ok := s.actions[c.ID]; !ok {
		return refuse(RefusedNotFound, fmt.Sprintf("no action %q is pending", c.ID))
	}
	delete(s.actions, c.ID)
	return Result{}
}
