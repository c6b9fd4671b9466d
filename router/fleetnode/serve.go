package fleetnode

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/quota"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// The jsonrpc2 methods of a replica. Every replica answers MethodStatus, MethodPing
// and raftdriver.MethodStep. The others return *peer.NotLeaderError unless the
// replica leads, is in contact with a quorum and has applied an entry of its
// term.
const (
	MethodJoin    = "fleet.join"
	MethodRenew   = "fleet.renew"
	MethodPropose = "fleet.propose"
	MethodRead    = "fleet.read"
	MethodDrains  = "fleet.drains"
	MethodStatus  = "fleet.status"
	MethodAllow   = "fleet.allow"
	MethodPing    = "fleet.ping"
	// MethodRenewNow is not a method of replicas: it is the method of the
	// notification with which they ask a member to renew at once.
	MethodRenewNow = "fleet.wake"
)

// JoinRequest asks the leader to add a replica to the control group.
type JoinRequest struct {
	ID      raft.ID `json:"id"`
	Cluster string  `json:"cluster"`
}

// ReadDocumentRequest asks for the newest document. Have is the version that
// the requester already has; the reply omits the text of that version.
// ChangeID, if set, is the change that Accepted of the reply is about.
type ReadDocumentRequest struct {
	ChangeID string `json:"changeId,omitempty"`
	Have     uint64 `json:"have,omitempty"`
}

// ReadDocumentReply is the newest document.
type ReadDocumentReply struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text,omitempty"`
	// Accepted is set if the change was accepted before.
	Accepted bool `json:"accepted,omitempty"`
}

// ProposeRequest contains a command of an operator or of a process; one of its fields is
// set.
type ProposeRequest struct {
	ApplyDocument *fleet.ApplyDocument `json:"applyDocument,omitempty"`
	SetDrain      *fleet.SetDrain      `json:"setDrain,omitempty"`
	// RecordDeparture is sent by sidecar processes.
	RecordDeparture *fleet.RecordDeparture `json:"recordDeparture,omitempty"`
}

// Register adds the replica's methods to a server.
func (r *Replica) Register(s *peer.Server) {
	s.Handle(raftdriver.MethodStep, peer.Bind(r.step))
	s.Handle(raftdriver.MethodSnapshotPart, peer.Bind(r.snapshots.Receive))
	s.Handle(MethodJoin, peer.Bind(r.handleJoin))
	s.Handle(MethodPropose, peer.Bind(r.propose))
	s.Handle(MethodRead, peer.Bind(r.read))
	s.Handle(MethodDrains, peer.Bind(r.drains))
	s.Handle(MethodRenew, r.renew)
	s.Handle(MethodStatus, peer.Bind(r.status))
	s.Handle(MethodAllow, peer.Bind(r.allow))
	s.Handle(MethodPing, peer.Bind(r.ping))
}

// Status is one replica's view of the group.
type Status struct {
	ID      raft.ID `json:"id"`
	Role    string  `json:"role"`
	Leader  raft.ID `json:"leader"`
	Term    uint64  `json:"term"`
	Applied uint64  `json:"applied"`
	// Voters and Learners are the members of the control group. Active are
	// those that are in contact with the leader; it is set on the leader only.
	Voters   []raft.ID `json:"voters"`
	Learners []raft.ID `json:"learners,omitempty"`
	Active   []raft.ID `json:"active,omitempty"`
	// Version and Drained are the document version and the drained data centres
	// that this replica has applied.
	Version uint64   `json:"version"`
	Drained []string `json:"drained,omitempty"`
	// Members are the processes that renew at the leader; set on the leader only.
	Members []fleet.Member `json:"members,omitempty"`
	// Quarantine are the requests that processes watch or refuse because they end
	// targets; set on the leader only.
	Quarantine []quarantine.Entry `json:"quarantine,omitempty"`
	// Accounts is the division of the limits of accounts; set on the leader only.
	Accounts []quota.LimitStatus `json:"accounts,omitempty"`
}

func (r *Replica) status(ctx context.Context, _ struct{}) (Status, error) {
	var out Status
	err := r.do(ctx, func() {
		st := r.raft.Status()
		out = Status{
			ID: st.ID, Role: st.Role.String(), Leader: st.Leader, Term: st.Term, Applied: st.Applied,
			Voters: st.Membership.Voters, Learners: st.Membership.Learners,
			Version: r.state.Version(), Drained: r.state.Drained(), Members: r.leader.Members(),
		}
		if st.Role == raft.Leader {
			out.Active = []raft.ID{st.ID}
		}
		if r.leader.IsLeader() {
			out.Accounts = r.leader.QuotaStatus(timesource.BootTime())
			out.Quarantine = r.leader.Quarantine(timesource.BootTime())
		}
		for id, p := range st.Progress {
			if p.Active {
				out.Active = append(out.Active, id)
			}
		}
	})
	return out, err
}

// step queues a message of another replica and does not wait for its processing.
func (r *Replica) step(_ context.Context, m raft.Message) (struct{}, error) {
	r.post(m)
	return struct{}{}, nil
}

// post queues a message for the replica's goroutine. If the queue is full, the sender
// retries.
func (r *Replica) post(m raft.Message) { r.tasks.Post(func() { r.receive(m) }) }

func (r *Replica) receive(m raft.Message) {
	// The log stores a snapshot before the state is restored from it. One that
	// cannot be restored would stop this replica at each start.
	if s := m.Snapshot; s != nil && len(s.Data) > 0 {
		state, err := fleet.Restore(s.Data)
		if err != nil {
			r.log.Warn().Str("from", string(m.From)).Err(err).Msg("snapshot rejected: it cannot be restored")
			return
		}
		r.received = receivedState{index: s.Index, term: s.Term, state: state}
	}
	if err := r.raft.Step(m); err != nil {
		r.log.Debug().Str("from", string(m.From)).Err(err).Msg("message rejected")
	}
}

// receivedState is the state of a snapshot that was passed to the replicated log and is
// not restored yet.
type receivedState struct {
	index, term uint64
	state       *fleet.State
}

// doAsLeader runs f on the replica's goroutine if this replica may answer as
// leader, and returns *peer.NotLeaderError otherwise.
func (r *Replica) doAsLeader(ctx context.Context, f func() error) error {
	var refused error
	err := r.do(ctx, func() {
		if !r.isActiveLeader() {
			refused = r.notLeader()
			return
		}
		refused = f()
	})
	if err != nil {
		return err // f may still be running
	}
	return refused
}

// handleJoin proposes to add a replica as a learner and does not wait until
// the change is committed. It does nothing if the replica is already in the
// group.
func (r *Replica) handleJoin(ctx context.Context, request JoinRequest) (struct{}, error) {
	if request.Cluster != r.cfg.Cluster {
		return struct{}{}, Error.New("this is cluster %q", r.cfg.Cluster)
	}
	return struct{}{}, r.doAsLeader(ctx, func() error {
		if r.raft.Status().Membership.Contains(request.ID) {
			return nil
		}
		_, err := r.raft.ProposeMembership(raft.MembershipChange{Kind: raft.AddLearner, ID: request.ID})
		r.log.Info().Str("replica", string(request.ID)).AnErr("refused", err).Msg("replica requests to join the control group")
		return err
	})
}

// propose commits a command and returns its result. After an error
// other than *peer.NotLeaderError the command may still take effect; the same
// command may be retried.
func (r *Replica) propose(ctx context.Context, request ProposeRequest) (fleet.Result, error) {
	data, err := fleet.EncodeCommand(fleet.Command{ApplyDocument: request.ApplyDocument, SetDrain: request.SetDrain, RecordDeparture: request.RecordDeparture})
	if err != nil {
		return fleet.Result{}, err
	}
	result := make(chan raftdriver.ProposalResult[fleet.Result], 1)
	err = r.doAsLeader(ctx, func() error {
		if r.cfg.MaxChangeBytes > 0 && len(data) > r.cfg.MaxChangeBytes {
			r.log.Warn().Int("bytes", len(data)).Int("limit", r.cfg.MaxChangeBytes).Msg("change refused: it is too large")
			result <- raftdriver.ProposalResult[fleet.Result]{Result: fleet.Result{Status: fleet.TooLarge, Version: r.state.Version()}}
			return nil
		}
		at, err := r.raft.Propose(data)
		if err != nil {
			return err
		}
		r.proposals.Register(at, result)
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
	case <-r.tasks.Stopped():
		return fleet.Result{}, Error.Wrap(raftdriver.ErrStopped)
	}
}

// read returns the newest document.
func (r *Replica) read(ctx context.Context, request ReadDocumentRequest) (ReadDocumentReply, error) {
	var reply ReadDocumentReply
	err := r.doAsLeader(ctx, func() error {
		_, text := r.state.Document()
		if request.Have != 0 && request.Have == r.state.Version() {
			text = nil
		}
		reply = ReadDocumentReply{Version: r.state.Version(), Text: text, Accepted: request.ChangeID != "" && r.state.Accepted(request.ChangeID)}
		return nil
	})
	return reply, err
}

// renew answers a member's renewal and subscribes its connection to
// MethodRenewNow.
func (r *Replica) renew(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	var renewal fleet.Renewal
	if err := json.Unmarshal(params, &renewal); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	var reply fleet.RenewalReply
	err := r.doAsLeader(ctx, func() error {
		reply = r.leader.Renew(timesource.BootTime(), r.state, renewal)
		compressed, err := r.compressor.compress(renewal.Revisions.Document, &reply)
		if err != nil {
			return err
		}
		reply.Compressed = compressed
		m := r.raft.Status().Membership
		for _, id := range m.Voters {
			reply.Replicas = append(reply.Replicas, fleet.ReplicaAddress(id))
		}
		r.subscribers.Subscribe(renewal.Member.Process, conn)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}
