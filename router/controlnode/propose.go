package controlnode

import (
	"context"
	"errors"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// Propose commits a command and returns its result. It blocks until the
// command is applied, ctx ends or the replica stops. After an error other than
// *peer.NotLeaderError the command may still take effect; commands with a
// change id may be retried.
func (r *Replica) Propose(ctx context.Context, command control.Command) (control.Result, error) {
	data, err := control.EncodeCommand(command)
	if err != nil {
		return control.Result{}, Error.Wrap(err)
	}
	return r.proposeAndWait(ctx, func() (raft.EntryID, error) {
		at, err := r.raft.Propose(data)
		if err != nil {
			return at, r.proposalError(err)
		}
		return at, nil
	})
}

// proposeAndWait calls propose on the replica's goroutine if this replica is the
// active leader. It blocks until the proposed entry is applied, ctx ends or the
// replica stops. An error of propose is returned as it is.
func (r *Replica) proposeAndWait(ctx context.Context, propose func() (raft.EntryID, error)) (control.Result, error) {
	result := make(chan raftdriver.ProposalResult[control.Result], 1)
	var refused error
	err := r.do(ctx, func() {
		if !r.isActiveLeader() {
			refused = r.notLeader()
			return
		}
		var at raft.EntryID
		if at, refused = propose(); refused == nil {
			r.proposals.Register(at, result)
		}
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return control.Result{}, err
	}
	select {
	case p := <-result:
		return p.Result, p.Err
	case <-ctx.Done():
		return control.Result{}, Error.Wrap(ctx.Err())
	case <-r.tasks.Stopped():
		return control.Result{}, Error.Wrap(raftdriver.ErrStopped)
	}
}

// proposalError returns the error of a proposal that raft rejected.
func (r *Replica) proposalError(err error) error {
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) {
		return r.notLeader()
	}
	return Error.Wrap(err)
}

// Read calls f with the leader's state on the replica's goroutine. f must not
// block or retain its arguments. Other replicas return *peer.NotLeaderError.
func (r *Replica) Read(ctx context.Context, f func(*control.State, *control.Controller)) error {
	var refused error
	err := r.do(ctx, func() {
		if !r.isActiveLeader() {
			refused = r.notLeader()
			return
		}
		f(r.state, r.controller)
	})
	if err != nil {
		return err
	}
	return refused
}

// ChangeMembership changes the control group by one replica. It blocks until the
// change is committed, ctx ends or the replica stops: a change that only the
// leader has is lost if the leader crashes. After an error other than
// *peer.NotLeaderError and *raft.MembershipError the change may still take
// effect. Other replicas than the leader return *peer.NotLeaderError.
func (r *Replica) ChangeMembership(ctx context.Context, c raft.MembershipChange) error {
	_, err := r.proposeAndWait(ctx, func() (raft.EntryID, error) { return r.raft.ProposeMembership(c) })
	return err
}

// Transfer starts a transfer of leadership to the active voter with the most
// up to date log for which avoid returns false; with avoid, callers exclude
// replicas that are being drained. It does not wait until the other replica
// leads, and the transfer is cancelled if that replica has not caught up
// within the election timeout. It returns an error if there is no such voter,
// and does nothing on replicas that do not lead.
func (r *Replica) Transfer(ctx context.Context, avoid func(raft.ID) bool) error {
	var refused error
	err := r.do(ctx, func() {
		if r.raft == nil || r.raft.Status().Role != raft.Leader {
			return
		}
		refused = r.transfer(avoid)
	})
	if err != nil {
		return err
	}
	return refused
}

func (r *Replica) transfer(avoid func(raft.ID) bool) error {
	st := r.raft.Status()
	var best raft.ID
	for _, id := range st.Membership.Voters {
		p, ok := st.Progress[id]
		if id == st.ID || !ok || !p.Active || avoid(id) {
			continue
		}
		if best == "" || p.Match > st.Progress[best].Match {
			best = id
		}
	}
	if best == "" {
		return Error.New("no other voter can take over leadership")
	}
	return r.raft.TransferLeadership(best)
}

// Status returns the replicated log's status, and false while the log is not
// started because the group is not bootstrapped yet.
func (r *Replica) Status(ctx context.Context) (raft.Status, bool, error) {
	var st raft.Status
	started := false
	err := r.do(ctx, func() {
		if r.raft != nil {
			st, started = r.raft.Status(), true
		}
	})
	if err != nil {
		return raft.Status{}, false, err
	}
	return st, started, nil
}

// ControllerStatus returns the status of the leader's controller for dumps, or
// nil on other replicas and after an error.
func (r *Replica) ControllerStatus(ctx context.Context) *control.Status {
	var st *control.Status
	err := r.do(ctx, func() {
		if r.leading {
			view := r.controller.Status(timesource.Now(), r.state)
			st = &view
		}
	})
	if err != nil {
		return nil
	}
	return st
}
