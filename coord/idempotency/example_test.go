package idempotency_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/shard"
)

// A payment, its retry, which gets the first response, and a request with the same
// key and another body, which is refused.
func Example() {
	now := clock.At(time.Hour)
	unit := shard.Unit{Keyspace: "billing", Shard: 3}
	owner := idempotency.NewOwner(idempotency.Config{
		Self: idempotency.Member{ID: "a", DataCentre: "north"},
	})
	copies := idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 7})

	// run performs actions, and those that follow from them.
	var run func([]idempotency.Action)
	run = func(actions []idempotency.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case idempotency.Write:
				run(owner.Acked(now, copies.Write(now, a.WriteRequest)))
			case idempotency.Dispatch:
				fmt.Println("target runs request", a.ID)
				run(owner.Finished(now, a.ID, idempotency.Response{Status: 201, Body: []byte("paid")}))
			case idempotency.Reply:
				fmt.Printf("request %d: %d %s, replayed %t\n", a.ID, a.Response.Status, a.Response.Body, a.Replayed)
			case idempotency.Refuse:
				fmt.Printf("request %d: %v\n", a.ID, a.Refusal)
			}
		}
	}
	second := []idempotency.Member{{ID: "b", DataCentre: "south"}}
	run(owner.ApplyAssignment(now, idempotency.Assignment{Unit: unit, Epoch: 1, NeverSynced: true, Syncing: second}))
	// Control has recorded that the copy is in sync.
	run(owner.ApplyAssignment(now, idempotency.Assignment{Unit: unit, Epoch: 2, Copies: second}))
	payment := idempotency.Request{ID: 1, Unit: unit, Key: "k1", Deadline: now.Add(time.Second)}
	run(owner.Begin(now, payment))
	payment.ID = 2
	run(owner.Begin(now, payment))
	payment.ID, payment.Digest = 3, [32]byte{1}
	run(owner.Begin(now, payment))

	// Output:
	// target runs request 1
	// request 1: 201 paid, replayed false
	// request 2: 201 paid, replayed true
	// request 3: body-mismatch (not-run): the idempotency key was used with another body
}
