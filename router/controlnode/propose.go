package controlnode

import (
	"context"
	"errors"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// Propose commits a command and returns its result. An error other than
// *peer.NotLeaderError leaves open whether the command takes effect; commands
// with a change id may be sent again.
func (n *Replica) Propose(ctx context.Context, c control.Command) (control.Result, error) {
	data, err := control.EncodeCommand(c)
	if err != nil {
		return control.Result{}, Error.Wrap(err)
	}
	result := make(chan raftdriver.ProposalResult[control.Result], 1)
	var refused error
	err = n.do(ctx, func() {
		if !n.serves() {
			refused = n.notLeader()
			return
		}
		at, err := n.raft.Propose(data)
		if err != nil {
			refused = n.refusal(err)
			return
		}
		n.proposals.Register(at, result)
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
	case <-n.tasks.Stopped():
		return control.Result{}, Error.Wrap(raftdriver.ErrStopped)
	}
}

func (n *Replica) refusal(err error) error {
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) {
		return n.notLeader()
	}
	return Error.Wrap(err)
}

// Read calls f with the leader's state. It fails on other replicas.
func (n *Replica) Read(ctx context.Context, f func(*control.State, *control.Controller)) error {
	var refused error
	err := n.do(ctx, func() {
		if !n.serves() {
			refused = n.notLeader()
			return
		}
		f(n.state, n.controller)
	})
	return errors.Join(err, refused)
}

// ChangeMembership changes the control group by one replica.
func (n *Replica) ChangeMembership(ctx context.Context, c raft.MembershipChange) error {
	var refused error
	err := n.do(ctx, func() {
		if !n.serves() {
			refused = n.notLeader()
			return
		}
		_, refused = n.raft.ProposeMembership(c)
	})
	return errors.Join(err, refused)
}

// Transfer hands leadership to another voter, preferably outside of the data
// centre that avoid reports. It does nothing on other replicas.
func (n *Replica) Transfer(ctx context.Context, avoid func(raft.ID) bool) error {
	var refused error
	err := n.do(ctx, func() {
		if n.raft == nil || n.raft.Status().Role != raft.Leader {
			return
		}
		refused = n.transfer(avoid)
	})
	return errors.Join(err, refused)
}

func (n *Replica) transfer(avoid func(raft.ID) bool) error {
	st := n.raft.Status()
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
	return n.raft.TransferLeadership(best)
}

// Status returns the replicated log's status; false while the replica waits
// for its group to be formed.
func (n *Replica) Status(ctx context.Context) (raft.Status, bool, error) {
	var st raft.Status
	formed := false
	err := n.do(ctx, func() {
		if n.raft != nil {
			st, formed = n.raft.Status(), true
		}
	})
	return st, formed, err
}

// ControllerStatus returns the leader's view for dumps; nil on other replicas.
func (n *Replica) ControllerStatus(ctx context.Context) *control.Status {
	var st *control.Status
	err := n.do(ctx, func() {
		if n.leading {
			view := n.controller.Status(timesource.Now(), n.state)
			st = &view
		}
	})
	if err != nil {
		return nil
	}
	return st
}
