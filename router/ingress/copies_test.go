package ingress_test

import (
	"context"
	"sync"

	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/peer"
	"bramleyquay.example/router/timesource"
)

var copyMu sync.Mutex

// serveCopies answers writes and fetches of the copy of a rig.
func serveCopies(rpc *peer.Server, c *idempotency.Copy) {
	rpc.Handle(gate.MethodWrite, peer.Bind(func(_ context.Context, req idempotency.WriteRequest) (idempotency.WriteReply, error) {
		copyMu.Lock()
		defer copyMu.Unlock()
		return c.Write(timesource.Now(), req), nil
	}))
	rpc.Handle(gate.MethodFetch, peer.Bind(func(_ context.Context, req idempotency.FetchRequest) (idempotency.FetchReply, error) {
		copyMu.Lock()
		defer copyMu.Unlock()
		return c.Fetch(timesource.Now(), req), nil
	}))
}

func unit(space string) shard.Unit { return shard.Unit{Service: space} }

// newCopies returns a copy that is in sync for the payment unit of a rig.
func newCopies() *idempotency.Copy {
	c := idempotency.NewCopy(idempotency.CopyConfig{Self: "copy", Incarnation: 7})
	join := idempotency.WriteRequest{Unit: unit("pay"), Epoch: 3, Join: idempotency.JoinID{Epoch: 3, Seq: 1}, LifetimeMs: 60_000}
	for _, step := range []idempotency.JoinStep{idempotency.JoinOpen, idempotency.JoinLast} {
		join.Step = step
		c.Write(timesource.Now(), join)
	}
	return c
}
