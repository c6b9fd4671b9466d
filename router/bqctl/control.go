package bqctl

import (
	"context"

	"bramleyquay.example/router/operator"
)

type controlCommand struct {
	Add     controlAddCommand     `cmd:"" help:"Add a replica. It receives the log without a vote."`
	Promote controlPromoteCommand `cmd:"" help:"Give a replica that has the whole log its vote."`
	Remove  controlRemoveCommand  `cmd:"" help:"Remove a replica."`
}

func (s *session) control(request operator.ControlChangeRequest) error {
	request.Author = s.author()
	return sendAction(s, "control", request, func(ctx context.Context, id string) (operator.Result, error) {
		request.ChangeID = id
		return s.remote.ControlChange(ctx, request)
	}, s.showResult)
}

type controlAddCommand struct {
	ID      string `arg:"" help:"Id of the new replica. An id whose data folder was lost must not be used again."`
	Address string `arg:"" help:"Its peer address, ip:port."`
}

// Run adds a replica as a learner.
func (c *controlAddCommand) Run(s *session) error {
	return s.control(operator.ControlChangeRequest{Op: operator.ControlAdd, ID: c.ID, Address: c.Address})
}

type replicaChoice struct {
	ID string `arg:"" help:"Id of the replica."`
}

type controlPromoteCommand struct{ replicaChoice }

// Run makes a learner a voter.
func (c *controlPromoteCommand) Run(s *session) error {
	return s.control(operator.ControlChangeRequest{Op: operator.ControlPromote, ID: c.ID})
}

type controlRemoveCommand struct{ replicaChoice }

// Run removes a replica.
func (c *controlRemoveCommand) Run(s *session) error {
	return s.control(operator.ControlChangeRequest{Op: operator.ControlRemove, ID: c.ID})
}
