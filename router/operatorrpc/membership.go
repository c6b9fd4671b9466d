package operatorrpc

import (
	"context"
	"errors"
	"fmt"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// ControlChange implements operator.ControlPlane. ChangeID, Author and Address are
// not used; a retry is recognized by the state of the group.
func (svc *Service) ControlChange(ctx context.Context, req operator.ControlChangeRequest) (operator.Result, error) {
	kind, text := changeKind(req.Op)
	err := svc.node.ChangeMembership(ctx, raft.MembershipChange{Kind: kind, ID: raft.ID(req.ID)})
	switch {
	case err == nil:
		return operator.Result{Text: fmt.Sprintf("replica %s %s", req.ID, text)}, nil
	case errors.Is(err, raft.ErrAlreadyInGroup), req.Op == operator.ControlRemove && errors.Is(err, raft.ErrUnknownReplica):
		return operator.Result{Text: fmt.Sprintf("nothing to do: %v", err), Already: true}, nil
	}
	var refused *raft.MembershipError
	var notLeader *peer.NotLeaderError
	switch {
	case errors.As(err, &refused) && errors.Is(err, raft.ErrUnknownReplica):
		return operator.Result{}, &operator.Error{Code: operator.CodeNotFound, Text: refused.Error()}
	case errors.As(err, &refused):
		return operator.Result{}, &operator.Error{Code: operator.CodeUnsafe, Text: refused.Error()}
	case errors.As(err, &notLeader):
		return operator.Result{}, notLeader
	default:
		return operator.Result{}, svc.operatorError(err)
	}
}

// changeKind returns the Raft change of an operation and the text of its result.
func changeKind(op operator.ControlOp) (raft.ChangeKind, string) {
	switch op {
	case operator.ControlAdd:
		return raft.AddLearner, "becomes a learner; promote it once it has caught up"
	case operator.ControlPromote:
		return raft.Promote, "becomes a voter"
	default:
		return raft.Remove, "is removed"
	}
}
