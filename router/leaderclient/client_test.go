package leaderclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/peer"
)

// fakeReplicas contains, for each replica's address, the address of the leader
// that it knows; the leader has its own address.
type fakeReplicas map[string]string

// Call implements leaderclient.Caller.
func (f fakeReplicas) Call(_ context.Context, addr, _ string, _, _ any) error {
	if f[addr] == addr {
		return nil
	}
	return &peer.NotLeaderError{Leader: f[addr]}
}

// Drop implements leaderclient.Caller.
func (fakeReplicas) Drop(string) {}

// Guards against a client that calls only a former leader, which lost its data
// and knows no leader, because another replica still names it as the leader.
func TestStaleHintIsForgotten(t *testing.T) {
	is := is.New(t)
	group := fakeReplicas{"a": "", "b": "a", "c": "c"}
	client := leaderclient.New(group, []string{"a", "b", "c"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(client.CallLeader(ctx, "m", nil, nil))
	is.Equal(client.NextAddress(), "c")
}
