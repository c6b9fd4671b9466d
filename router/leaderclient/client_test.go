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

// silentReplica is a group in which one replica does not answer.
type silentReplica struct {
	fakeReplicas
	silent string
	called chan string
}

// Call implements leaderclient.Caller.
func (s silentReplica) Call(ctx context.Context, addr, method string, params, result any) error {
	s.called <- addr
	if addr == s.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.fakeReplicas.Call(ctx, addr, method, params, result)
}

// Guards against calls that wait for a silent leader although a replica has learned of
// the next one: an operator's order waits for each replica in turn.
func TestCallMovesToNewLeader(t *testing.T) {
	is := is.New(t)
	group := silentReplica{fakeReplicas: fakeReplicas{"a": "a", "b": "b"}, silent: "a", called: make(chan string, 10)}
	client := leaderclient.New(group, []string{"a", "b"})
	client.SetLeader("a")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	done := make(chan error, 1)
	start := time.Now()
	go func() { done <- client.CallLeader(ctx, "m", nil, nil) }()
	is.Equal(<-group.called, "a")
	client.SetLeader("b")
	is.NoErr(<-done)
	is.Equal(<-group.called, "b")
	is.True(time.Since(start) < 400*time.Millisecond) // half of the time limit of one call
	is.Equal(client.NextAddress(), "b")
	client.SetLeader("")
	is.True(client.NextAddress() != "")
}
