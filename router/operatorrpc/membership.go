package operatorrpc

import (
	"context"
	"errors"
	"fmt"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// ControlChange implements operator.ControlPlane.
func (l *Service) ControlChange(ctx context.Context, q operator.ControlChangeRequest) (operator.Result, error) {
	kind, done := changeKind(q.Op)
	err := l.node.ChangeMembership(ctx, raft.MembershipChange{Kind: kind, ID: raft.ID(q.ID)})
	switch {
	case err == nil:
		return operator.Result{Text: fmt.Sprintf("replica %s %s", q.ID, done)}, nil
	case errors.Is(err, raft.ErrAlreadyInGroup), q.Op == operator.ControlRemove && errors.Is(err, raft.ErrUnknownReplica):
		return operator.Result{Text: fmt.Sprintf("nothing to do: %v", err), Already: true}, nil
	}
	var refused *raft.MembershipError
	var nl *peer.NotLeaderError
	switch {
	case errors.As(err, &refused) && errors.Is(err, raft.ErrUnknownReplica):
		return operator.Result{}, &operator.Error{Code: operator.CodeNotFound, Text: refused.Error()}
	case errors.As(err, &refused):
		return operator.Result{}, &operator.Error{Code: operator.CodeUnsafe, Text: refused.Error()}
	case errors.As(err, &nl):
		return operator.Result{}, nl
	default:
		return operator.Result{}, l.failure(err)
	}
}

func changeKind(op operator.ControlOp) (raft.ChangeKind, string) {
	switch op {
	case operator.ControlAdd:
		return raft.AddLearner, "learns; promote it once it has caught up"
	case operator.ControlPromote:
		return raft.Promote, "votes"
	default:
		return raft.Remove, "is removed"
	}
}
