package operatorrpc

import (
	"context"
	"fmt"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/operator"
)

// Automation implements operator.ControlPlane.
func (l *Service) Automation(ctx context.Context, q operator.AutomationRequest) (operator.AutomationReply, error) {
	var result operator.Result
	var err error
	switch q.Op {
	case operator.AutomationApprove:
		_, err = l.propose(ctx, control.Command{ApproveAction: &control.ApproveAction{ID: q.ID, ChangeID: q.ChangeID, Author: q.Author}})
		result.Text = "action " + q.ID + " is approved"
	case operator.AutomationDismiss:
		_, err = l.propose(ctx, control.Command{DismissAction: &control.DismissAction{ID: q.ID, ChangeID: q.ChangeID, Author: q.Author}})
		result.Text = "action " + q.ID + " is dismissed"
	case operator.AutomationOn, operator.AutomationOff:
		result, err = l.setSwitch(ctx, q)
	}
	if err != nil {
		return operator.AutomationReply{}, err
	}
	reply := operator.AutomationReply{Result: result, Pending: []operator.PendingAction{}}
	err = l.read(ctx, func(s *control.State, _ *control.Controller) {
		_, doc, _ := s.Document()
		reply.Switches, reply.Pending = doc.Automation, l.pending(s)
	})
	return reply, err
}

func (l *Service) pending(s *control.State) []operator.PendingAction {
	list := []operator.PendingAction{}
	for _, a := range s.Actions() {
		list = append(list, operator.PendingAction{ID: a.ID, Action: a.Kind, Text: a.Summary, Since: l.watch.proposed(a.ID)})
	}
	return list
}

// switchAttempts bounds the repeats when other changes come in between.
const switchAttempts = 5

// setSwitch makes a new document with one switch changed.
func (l *Service) setSwitch(ctx context.Context, q operator.AutomationRequest) (operator.Result, error) {
	on := q.Op == operator.AutomationOn
	for range switchAttempts {
		current, err := l.Document(ctx, 0)
		if err != nil {
			return operator.Result{}, err
		}
		doc, findings := document.Parse("document", []byte(current.Text))
		if doc == nil {
			return operator.Result{}, &operator.Error{Code: operator.CodeInvalid, Text: fmt.Sprintf("there is no valid document yet (%d findings)", len(findings))}
		}
		if !flip(&doc.Automation, q.Action, on) {
			return operator.Result{}, &operator.Error{Code: operator.CodeInvalid, Text: fmt.Sprintf("no automatic action is named %q", q.Action)}
		}
		reply, err := l.Apply(ctx, operator.ApplyRequest{Base: current.Revision, ChangeID: q.ChangeID, Author: q.Author, Text: string(document.Canonical(doc))})
		if err != nil {
			return operator.Result{}, err
		}
		if reply.Conflict == nil {
			return operator.Result{Text: fmt.Sprintf("%s is %s", q.Action, q.Op), Revision: reply.Revision}, nil
		}
	}
	return operator.Result{}, &operator.Error{Code: operator.CodeUnavailable, Text: "other changes came first; give the command again"}
}

func flip(a *config.Automation, action config.Action, on bool) bool {
	switch action {
	case operator.AllActions:
		a.AllOff = !on
	case config.ActionRebalance:
		a.Rebalance = on
	case config.ActionHotKeys:
		a.HotKeys = on
	case config.ActionFailover:
		a.Failover = on
	case config.ActionReplicaReplacement:
		a.ReplicaReplacement = on
	case config.ActionEjection:
		a.Ejection = on
	case config.ActionRetries:
		a.Retries = on
	default:
		return false
	}
	return true
}
