package leaderclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/peer"
)

// answers plays the replicas: each address names the leader that it knows, or
// is the leader.
type answers map[string]string

// Call implements leaderclient.Caller.
func (a answers) Call(_ context.Context, addr, _ string, _, _ any) error {
	if a[addr] == addr {
		return nil
	}
	return &peer.NotLeaderError{Leader: a[addr]}
}

// Drop implements leaderclient.Caller.
func (answers) Drop(string) {}

// Guards against a client that stays with a replica that lost its data: others
// still name it as the leader, while it knows none.
func TestStaleHintIsForgotten(t *testing.T) {
	is := is.New(t)
	group := answers{"a": "", "b": "a", "c": "c"}
	client := leaderclient.New(group, []string{"a", "b", "c"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(client.CallLeader(ctx, "m", nil, nil))
	is.Equal(client.NextAddress(), "c")
}
