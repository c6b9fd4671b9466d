package controlnode

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/member"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/raftdriver"
	"bramleyquay.example/router/timesource"
)

// Register adds the replica's methods to a server.
func (r *Replica) Register(s *peer.Server) {
	s.Handle(MethodBootstrapProbe, peer.Bind(r.handleBootstrapProbe))
	s.Handle(raftdriver.MethodStep, peer.Bind(r.step))
	s.Handle(raftdriver.MethodSnapshotPart, peer.Bind(r.snapshots.Receive))
	s.Handle(member.MethodRenew, r.renew)
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
	if r.raft == nil {
		return
	}
	// The log stores a snapshot before the state is restored from it. One that
	// cannot be restored would stop this replica at each start.
	if s := m.Snapshot; s != nil && len(s.Data) > 0 {
		if _, err := control.Restore(s.Data); err != nil {
			r.log.Warnf("snapshot from replica %s rejected: it cannot be restored: %v", m.From, err)
			return
		}
	}
	if err := r.raft.Step(m); err != nil {
		r.log.Debugf("message from replica %s rejected: %v", m.From, err)
	}
}

// renew answers a member's renewal and subscribes its connection to
// MethodRenewNow.
func (r *Replica) renew(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	var renewal control.Renewal
	if err := json.Unmarshal(params, &renewal); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	var reply control.RenewalReply
	var refused error
	err := r.do(ctx, func() {
		if !r.isActiveLeader() {
			refused = r.notLeader()
			return
		}
		var commands []control.Command
		reply, commands = r.controller.Renew(timesource.Now(), r.state, renewal)
		r.proposeAll(commands)
		r.subscribers.Subscribe(renewal.ID, conn)
	})
	if err != nil {
		return nil, err
	}
	if refused != nil {
		return nil, refused
	}
	return reply, nil
}
