package operatorrpc

import (
	"context"
	"fmt"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/control"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/operator"
)

// Automation implements operator.ControlPlane. The reply holds the state after
// the request.
func (svc *Service) Automation(ctx context.Context, req operator.AutomationRequest) (operator.AutomationReply, error) {
	var result operator.Result
	var err error
	switch req.Op {
	case operator.AutomationApprove:
		_, err = svc.propose(ctx, control.Command{ApproveAction: &control.ApproveAction{ID: req.ID, ChangeID: req.ChangeID, Author: req.Author}})
		result.Text = "action " + req.ID + " is approved"
	case operator.AutomationDismiss:
		_, err = svc.propose(ctx, control.Command{DismissAction: &control.DismissAction{ID: req.ID, ChangeID: req.ChangeID, Author: req.Author}})
		result.Text = "action " + req.ID + " is dismissed"
	case operator.AutomationOn, operator.AutomationOff:
		result, err = svc.setSwitch(ctx, req)
	}
	if err != nil {
		return operator.AutomationReply{}, err
	}
	reply := operator.AutomationReply{Result: result, Pending: []operator.PendingAction{}}
	err = svc.read(ctx, func(s *control.State, _ *control.Controller) {
		_, doc, _ := s.Document()
		reply.Switches, reply.Pending = doc.Automation, svc.pending(s)
	})
	return reply, err
}

// pending returns the actions that wait for approval, with the time at which
// this process first listed each.
func (svc *Service) pending(s *control.State) []operator.PendingAction {
	list := []operator.PendingAction{}
	for _, a := range s.Actions() {
		list = append(list, operator.PendingAction{ID: a.ID, Action: a.Kind, Text: a.Summary, Since: svc.firstSeen.timeOf(a.ID)})
	}
	return list
}

// switchAttempts bounds the attempts of setSwitch. An attempt fails if another
// change of the document is accepted between its read and its write. At present
// every later attempt is refused as CodeInvalid, because the first one has recorded
// the change id with another base.
const switchAttempts = 5

// setSwitch applies a copy of the current document with one switch changed.
func (svc *Service) setSwitch(ctx context.Context, req operator.AutomationRequest) (operator.Result, error) {
	on := req.Op == operator.AutomationOn
	for range switchAttempts {
		current, err := svc.Document(ctx, 0)
		if err != nil {
			return operator.Result{}, err
		}
		doc, findings := document.Parse("document", []byte(current.Text))
		if doc == nil {
			return operator.Result{}, &operator.Error{Code: operator.CodeInvalid, Text: fmt.Sprintf("there is no valid document yet (%d findings)", len(findings))}
		}
		if !setAction(&doc.Automation, req.Action, on) {
			return operator.Result{}, &operator.Error{Code: operator.CodeInvalid, Text: fmt.Sprintf("no automatic action is named %q", req.Action)}
		}
		reply, err := svc.Apply(ctx, operator.ApplyRequest{Base: current.Revision, ChangeID: req.ChangeID, Author: req.Author, Text: string(document.Canonical(doc))})
		if err != nil {
			return operator.Result{}, err
		}
		if reply.Conflict == nil {
			return operator.Result{Text: fmt.Sprintf("%s is %s", req.Action, req.Op), Revision: reply.Revision}, nil
		}
	}
	return operator.Result{}, &operator.Error{Code: operator.CodeUnavailable, Text: "other changes of the document were accepted first; give the command again"}
}

// setAction turns one automatic action, or all of them, on or off. It reports
// false for an unknown action.
func setAction(a *config.Automation, action config.Action, on bool) bool {
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
