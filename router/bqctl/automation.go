package bqctl

import (
	"context"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/operator"
)

type automationCommand struct {
	List    automationListCommand    `cmd:"" help:"Show the switches and the pending actions."`
	On      automationOnCommand      `cmd:"" help:"Turn automatic actions on."`
	Off     automationOffCommand     `cmd:"" help:"Turn automatic actions off; they are listed as pending instead."`
	Approve automationApproveCommand `cmd:"" help:"Let a pending action happen."`
	Dismiss automationDismissCommand `cmd:"" help:"Drop a pending action."`
}

// switchChoice has the argument of on and off.
type switchChoice struct {
	Action string `arg:"" optional:"" default:"all" enum:"all,rebalance,hotKeys,failover,replicaReplacement,ejection,repeats" help:"all, rebalance, hotKeys, failover, replicaReplacement, ejection or repeats. all keeps the single switches as they are."`
}

func (s *session) automation(request operator.AutomationRequest) error {
	request.Author = s.author()
	return sendAction(s, "automation", request, func(ctx context.Context, id string) (operator.AutomationReply, error) {
		request.ChangeID = id
		return s.remote.Automation(ctx, request)
	}, s.showAutomation)
}

func (s *session) showAutomation(reply operator.AutomationReply) {
	if reply.Result.Text != "" {
		s.showResult(reply.Result)
	}
	s.print("%s", switchesTable(reply.Switches))
	if len(reply.Pending) == 0 {
		s.print("no action is pending")
		return
	}
	s.print("%s", pendingTable(reply.Pending))
}

func switchesTable(switches config.Automation) string {
	rows := [][]string{{"ACTION", "STATE"}}
	for _, action := range document.Actions() {
		single := switches
		single.AllOff = false
		state := "off"
		switch {
		case single.Allowed(action) && switches.AllOff:
			state = "off, because all is off"
		case single.Allowed(action):
			state = "on"
		}
		rows = append(rows, []string{string(action), state})
	}
	return table(rows)
}

func pendingTable(pending []operator.PendingAction) string {
	rows := [][]string{{"PENDING", "SINCE", "ACTION", "DESCRIPTION"}}
	for _, p := range pending {
		rows = append(rows, []string{p.ID, p.Since.Format("2006-01-02 15:04:05"), string(p.Action), p.Text})
	}
	return table(rows)
}

type automationListCommand struct{}

// Run prints the switches and the pending actions.
func (c *automationListCommand) Run(s *session) error {
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := s.remote.Automation(ctx, operator.AutomationRequest{Op: operator.AutomationList})
	if err != nil {
		return err
	}
	s.showAutomation(reply)
	return s.printJSON(reply)
}

type automationOnCommand struct{ switchChoice }

// Run turns actions on.
func (c *automationOnCommand) Run(s *session) error {
	return s.automation(operator.AutomationRequest{Op: operator.AutomationOn, Action: config.Action(c.Action)})
}

type automationOffCommand struct{ switchChoice }

// Run turns actions off.
func (c *automationOffCommand) Run(s *session) error {
	return s.automation(operator.AutomationRequest{Op: operator.AutomationOff, Action: config.Action(c.Action)})
}

type pendingChoice struct {
	ID string `arg:"" help:"Id of the pending action, from automation list."`
}

type automationApproveCommand struct{ pendingChoice }

// Run approves an action.
func (c *automationApproveCommand) Run(s *session) error {
	return s.automation(operator.AutomationRequest{Op: operator.AutomationApprove, ID: c.ID})
}

type automationDismissCommand struct{ pendingChoice }

// Run dismisses an action.
func (c *automationDismissCommand) Run(s *session) error {
	return s.automation(operator.AutomationRequest{Op: operator.AutomationDismiss, ID: c.ID})
}
