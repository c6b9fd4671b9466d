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

// copyMu guards the copies, because a CopyStore is not safe for concurrent use.
var copyMu sync.Mutex

// serveCopy registers the RPC methods by which an owner reaches the copy c.
func serveCopy(rpc *peer.Server, c *idempotency.CopyStore) {
	rpc.Handle(gate.MethodWriteRecords, peer.Bind(func(_ context.Context, req idempotency.WriteRequest) (idempotency.WriteReply, error) {
		copyMu.Lock()
		defer copyMu.Unlock()
		return c.Write(timesource.Now(), req), nil
	}))
	rpc.Handle(gate.MethodFetchRecords, peer.Bind(func(_ context.Context, req idempotency.FetchRequest) (idempotency.FetchReply, error) {
		copyMu.Lock()
		defer copyMu.Unlock()
		return c.Fetch(timesource.Now(), req), nil
	}))
}

func unit(keyspace string) shard.Unit { return shard.Unit{Keyspace: keyspace} }

// newSyncedCopy returns a copy that is in sync for the unit of payments.
func newSyncedCopy() *idempotency.CopyStore {
	c := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "copy", Incarnation: 7})
	transfer := idempotency.WriteRequest{Unit: unit("pay"), Epoch: 3, Transfer: idempotency.TransferID{Epoch: 3, Seq: 1}, LifetimeMs: 60_000}
	for _, step := range []idempotency.TransferStep{idempotency.TransferBegin, idempotency.TransferLast} {
		transfer.Step = step
		c.Write(timesource.Now(), transfer)
	}
	return c
}
