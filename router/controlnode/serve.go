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
func (n *Replica) Register(s *peer.Server) {
	s.Handle(MethodBootstrapProbe, peer.Bind(n.hello))
	s.Handle(raftdriver.MethodStep, peer.Bind(n.step))
	s.Handle(member.MethodRenew, n.renew)
}

// step takes a message of another replica.
func (n *Replica) step(_ context.Context, m raft.Message) (struct{}, error) {
	n.tasks.Post(func() { n.receive(m) }) // if it is full, the sender repeats
	return struct{}{}, nil
}

func (n *Replica) receive(m raft.Message) {
	if n.raft == nil {
		return
	}
	// A snapshot is stored before it is installed: one that cannot be restored
	// would stop this replica for good.
	if s := m.Snapshot; s != nil && len(s.Data) > 0 {
		if _, err := control.Restore(s.Data); err != nil {
			n.log.Warnf("snapshot of replica %s refused: %v", m.From, err)
			return
		}
	}
	if err := n.raft.Step(m); err != nil {
		n.log.Debugf("message from replica %s refused: %v", m.From, err)
	}
}

// renew answers a member's renewal.
func (n *Replica) renew(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	var r control.Renewal
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	var reply control.RenewalReply
	var refused error
	err := n.do(ctx, func() {
		if !n.serves() {
			refused = n.notLeader()
			return
		}
		var commands []control.Command
		reply, commands = n.controller.Renew(timesource.Now(), n.state, r)
		n.proposeAll(commands)
		n.wakers.Subscribe(r.ID, conn)
	})
	if err != nil {
		return nil, err
	}
	if refused != nil {
		return nil, refused
	}
	return reply, nil
}
