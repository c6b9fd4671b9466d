package bqctl

import (
	"context"
	"encoding/json"

	"bramleyquay.example/router/operator"
)

// sendAction sends an action under a change id and prints the reply with show.
// An action that was sent before without an answer is resent under its first
// id. request is the action without the id; it identifies the action.
func sendAction[Reply any](s *session, kind string, request any, call func(ctx context.Context, id string) (Reply, error), show func(Reply)) error {
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	content, err := json.Marshal(request)
	if err != nil {
		return Error.New("cannot encode the request: %w", err)
	}
	key := s.pending.key(kind, content)
	recorded, resend, err := s.pending.record(key, 0)
	if err != nil {
		return err
	}
	if resend {
		s.printResend(recorded)
	}
	reply, err := call(ctx, recorded.ChangeID)
	if err != nil && !retryIsSafe(err) {
		return err
	}
	if endErr := s.pending.remove(key); endErr != nil {
		return endErr
	}
	if err != nil {
		return err
	}
	show(reply)
	return s.printJSON(reply)
}

func (s *session) showResult(r operator.Result) {
	s.print("%s", r.Text)
	if r.Already {
		s.print("there was nothing left to do")
	}
	if r.Revision != 0 {
		s.print("the document is now at revision %d", r.Revision)
	}
}

// drainArguments has the arguments of drain and return.
type drainArguments struct {
	Scope string `arg:"" enum:"target,instance,data-centre,dataCentre" help:"target, instance or data-centre."`
	Name  string `arg:"" help:"Member id, or name of the data centre."`
}

func (a drainArguments) send(s *session, on bool) error {
	scope := operator.Scope(a.Scope)
	if a.Scope == "data-centre" {
		scope = operator.ScopeDataCentre
	}
	request := operator.DrainRequest{Scope: scope, Name: a.Name, On: on, Author: s.author()}
	return sendAction(s, "drain", request, func(ctx context.Context, id string) (operator.Result, error) {
		request.ChangeID = id
		return s.remote.Drain(ctx, request)
	}, s.showResult)
}

type drainCommand struct{ drainArguments }

// Run takes a target, an instance or a data centre out of service.
func (c *drainCommand) Run(s *session) error { return c.send(s, true) }

type returnCommand struct{ drainArguments }

// Run returns a target, an instance or a data centre to service.
func (c *returnCommand) Run(s *session) error { return c.send(s, false) }

type moveCommand struct {
	Unit   string `arg:"" help:"Unit, as in status: service/shard or service:rule/shard, with /key for a split key."`
	Member string `arg:"" help:"Member that gets the unit."`
}

// Run starts a move.
func (c *moveCommand) Run(s *session) error {
	request := operator.MoveRequest{Unit: c.Unit, To: c.Member, Author: s.author()}
	return sendAction(s, "move", request, func(ctx context.Context, id string) (operator.Result, error) {
		request.ChangeID = id
		return s.remote.Move(ctx, request)
	}, s.showResult)
}

type splitCommand struct {
	Service string `arg:"" help:"Service of the key."`
	Key     string `arg:"" help:"Key to split out of its shard."`
}

// Run splits a key.
func (c *splitCommand) Run(s *session) error {
	request := operator.SplitRequest{Service: c.Service, Key: c.Key, Author: s.author()}
	return sendAction(s, "split", request, func(ctx context.Context, id string) (operator.Result, error) {
		request.ChangeID = id
		return s.remote.Split(ctx, request)
	}, s.showResult)
}

type mergeCommand struct {
	Unit string `arg:"" help:"Unit of the split key, as in status."`
}

// Run merges a split key.
func (c *mergeCommand) Run(s *session) error {
	request := operator.MergeRequest{Unit: c.Unit, Author: s.author()}
	return sendAction(s, "merge", request, func(ctx context.Context, id string) (operator.Result, error) {
		request.ChangeID = id
		return s.remote.Merge(ctx, request)
	}, s.showResult)
}
