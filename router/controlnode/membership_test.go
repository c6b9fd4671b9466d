package controlnode

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/peer"
)

// Guards against a change of the group that is acknowledged while only the leader
// has it, so that it is lost if the leader crashes.
func TestMembershipChangeWaitsForCommit(t *testing.T) {
	is := is.New(t)
	cfg := Config{
		ID: "one", Cluster: "c", DataDir: t.TempDir(), SnapshotEntries: 100,
		Bootstrap: true, Peers: []ControlReplica{{ID: "one"}},
	}
	replica, err := Open(cfg, peer.NewClient(&peer.Dialer{}, nil), discardLog)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- replica.Run(ctx) }()
	// Replica "two" has no process; the test sends its replies.
	addLearner := raft.MembershipChange{Kind: raft.AddLearner, ID: "two"}
	for replica.ChangeMembership(ctx, addLearner) != nil {
		is.NoErr(ctx.Err()) // the replica leads and commits alone
		time.Sleep(5 * time.Millisecond)
	}
	// As a voter, "two" is needed for the quorum of its own promotion, and it does
	// not acknowledge that entry.
	for status(ctx, t, replica).Membership.IsLearner("two") {
		is.NoErr(ctx.Err()) // the promotion is in the leader's log
		is.NoErr(replica.do(ctx, func() { acknowledgeAll(replica.raft, "two") }))
		attempt, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		err := replica.ChangeMembership(attempt, raft.MembershipChange{Kind: raft.Promote, ID: "two"})
		cancel()
		is.True(err != nil) // the promotion is not committed
	}
	cancel()
	is.NoErr(<-ended)
}

func status(ctx context.Context, t *testing.T, r *Replica) raft.Status {
	t.Helper()
	st, _, err := r.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

// acknowledgeAll steps the replies of a replica that has the whole log of the leader
// and has answered its last heartbeat. The leader rejects those for rounds that it
// has not opened.
func acknowledgeAll(leader *raft.Node, from raft.ID) {
	st := leader.Status()
	_ = leader.Step(raft.Message{Kind: raft.MsgAppendReply, From: from, To: st.ID, Term: st.Term, Index: st.LastIndex})
	for round := range uint64(10 * time.Second / (heartbeatTicks * tickInterval)) {
		_ = leader.Step(raft.Message{Kind: raft.MsgHeartbeatReply, From: from, To: st.ID, Term: st.Term, Round: round + 1})
	}
}
