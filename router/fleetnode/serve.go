package fleetnode

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// The jsonrpc2 methods of a replica. All but raftdriver.MethodStep are answered
// by the leader only.
const (
	MethodJoin    = "fleet.join"
	MethodRenew   = "fleet.renew"
	MethodPropose = "fleet.propose"
	MethodRead    = "fleet.read"
	// MethodStatus is answered by every replica.
	MethodStatus = "fleet.status"
	// MethodRenewNow is the notification that tells a member to renew at once.
	MethodRenewNow = "fleet.wake"
)

// JoinRequest asks to be added to the group.
type JoinRequest struct {
	ID      raft.ID `json:"id"`
	Cluster string  `json:"cluster"`
}

// ReadDocumentRequest asks for the newest document. The text is left out if the asker has
// the version already.
type ReadDocumentRequest struct {
	ChangeID string `json:"changeId,omitempty"`
	Have     uint64 `json:"have,omitempty"`
}

// ReadDocumentReply is the newest document.
type ReadDocumentReply struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text,omitempty"`
	// Accepted says that the change was accepted before.
	Accepted bool `json:"accepted,omitempty"`
}

// ProposeRequest carries a command of an operator.
type ProposeRequest struct {
	ApplyDocument *fleet.ApplyDocument `json:"applyDocument,omitempty"`
	SetDrain      *fleet.SetDrain      `json:"setDrain,omitempty"`
}

// Register adds the replica's methods to a server.
func (n *Replica) Register(s *peer.Server) {
	s.Handle(raftdriver.MethodStep, peer.Bind(n.step))
	s.Handle(MethodJoin, peer.Bind(n.admit))
	s.Handle(MethodPropose, peer.Bind(n.propose))
	s.Handle(MethodRead, peer.Bind(n.read))
	s.Handle(MethodRenew, n.renew)
	s.Handle(MethodStatus, peer.Bind(n.status))
}

// Status is one replica's view of the group.
type Status struct {
	ID      raft.ID `json:"id"`
	Role    string  `json:"role"`
	Leader  raft.ID `json:"leader"`
	Term    uint64  `json:"term"`
	Applied uint64  `json:"applied"`
	// Voters and Learners are the group; Active those that the leader hears,
	// on the leader only.
	Voters   []raft.ID `json:"voters"`
	Learners []raft.ID `json:"learners,omitempty"`
	Active   []raft.ID `json:"active,omitempty"`
	Version  uint64    `json:"version"`
	Drained  []string  `json:"drained,omitempty"`
	// Members are those that the leader hears, on the leader only.
	Members []fleet.Member `json:"members,omitempty"`
}

// status describes the replica.
func (n *Replica) status(ctx context.Context, _ struct{}) (Status, error) {
	var out Status
	err := n.do(ctx, func() {
		st := n.raft.Status()
		out = Status{
			ID: st.ID, Role: st.Role.String(), Leader: st.Leader, Term: st.Term, Applied: st.Applied,
			Voters: st.Membership.Voters, Learners: st.Membership.Learners,
			Version: n.state.Version(), Drained: n.state.Drained(), Members: n.leader.Members(),
		}
		if st.Role == raft.Leader {
			out.Active = []raft.ID{st.ID}
		}
		for id, p := range st.Progress {
			if p.Active {
				out.Active = append(out.Active, id)
			}
		}
	})
	return out, err
}

// step takes a message of another replica.
func (n *Replica) step(_ context.Context, m raft.Message) (struct{}, error) {
	n.tasks.Post(func() { n.receive(m) }) // if it is full, the sender repeats
	return struct{}{}, nil
}

func (n *Replica) receive(m raft.Message) {
	// A snapshot is stored before it is installed: one that cannot be restored
	// would stop this replica for good.
	if s := m.Snapshot; s != nil && len(s.Data) > 0 {
		if _, err := fleet.Restore(s.Data); err != nil {
			n.log.Warn().Str("from", string(m.From)).Err(err).Msg("snapshot refused")
			return
		}
	}
	if err := n.raft.Step(m); err != nil {
		n.log.Debug().Str("from", string(m.From)).Err(err).Msg("message refused")
	}
}

// lead runs f if this replica may answer as leader.
func (n *Replica) lead(ctx context.Context, f func() error) error {
	var refused error
	err := n.do(ctx, func() {
		if !n.serves() {
			refused = n.notLeader()
			return
		}
		refused = f()
	})
	return errors.Join(err, refused)
}

// admit adds a replica as learner.
func (n *Replica) admit(ctx context.Context, j JoinRequest) (struct{}, error) {
	if j.Cluster != n.cfg.Cluster {
		return struct{}{}, Error.New("this is cluster %q", n.cfg.Cluster)
	}
	return struct{}{}, n.lead(ctx, func() error {
		if n.raft.Status().Membership.Contains(j.ID) {
			return nil
		}
		_, err := n.raft.ProposeMembership(raft.MembershipChange{Kind: raft.AddLearner, ID: j.ID})
		n.log.Info().Str("replica", string(j.ID)).AnErr("refused", err).Msg("replica asks to join")
		return err
	})
}

// propose commits an operator's command and returns its result. An error
// other than *peer.NotLeaderError leaves open whether it takes effect; the
// same command may be sent again.
func (n *Replica) propose(ctx context.Context, p ProposeRequest) (fleet.Result, error) {
	data, err := fleet.EncodeCommand(fleet.Command{ApplyDocument: p.ApplyDocument, SetDrain: p.SetDrain})
	if err != nil {
		return fleet.Result{}, err
	}
	result := make(chan raftdriver.ProposalResult[fleet.Result], 1)
	err = n.lead(ctx, func() error {
		at, err := n.raft.Propose(data)
		if err != nil {
			return err
		}
		n.proposals.Register(at, result)
		return nil
	})
	if err != nil {
		return fleet.Result{}, err
	}
	select {
	case p := <-result:
		return p.Result, p.Err
	case <-ctx.Done():
		return fleet.Result{}, Error.Wrap(ctx.Err())
	case <-n.tasks.Stopped():
		return fleet.Result{}, Error.Wrap(raftdriver.ErrStopped)
	}
}

// read returns the newest document.
func (n *Replica) read(ctx context.Context, r ReadDocumentRequest) (ReadDocumentReply, error) {
	var reply ReadDocumentReply
	err := n.lead(ctx, func() error {
		_, text := n.state.Document()
		if r.Have != 0 && r.Have == n.state.Version() {
			text = nil
		}
		reply = ReadDocumentReply{Version: n.state.Version(), Text: text, Accepted: r.ChangeID != "" && n.state.Accepted(r.ChangeID)}
		return nil
	})
	return reply, err
}

// LatestDocument returns the newest document as the leader confirms it, and whether a
// change was accepted before. The text comes from this replica if it is current.
func (n *Replica) LatestDocument(ctx context.Context, changeID string) (ReadDocumentReply, error) {
	r := ReadDocumentRequest{ChangeID: changeID}
	var text []byte
	err := n.do(ctx, func() {
		r.Have = n.state.Version()
		_, text = n.state.Document()
	})
	if err != nil {
		return ReadDocumentReply{}, err
	}
	var reply ReadDocumentReply
	if err := n.peers.CallLeader(ctx, MethodRead, r, &reply); err != nil {
		return ReadDocumentReply{}, err
	}
	if reply.Version == r.Have {
		reply.Text = text
	}
	return reply, nil
}

// renew answers a member's renewal.
func (n *Replica) renew(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	var r fleet.Renewal
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	var reply fleet.RenewalReply
	err := n.lead(ctx, func() error {
		reply = n.leader.Renew(timesource.BootTime(), n.state, r)
		packed, err := n.packer.pack(r.Revisions.Document, &reply)
		if err != nil {
			return err
		}
		reply.Compressed = packed
		m := n.raft.Status().Membership
		for _, id := range m.Voters {
			reply.Replicas = append(reply.Replicas, fleet.ReplicaAddress(id))
		}
		n.wakers.Subscribe(r.Member.Process, conn)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}
