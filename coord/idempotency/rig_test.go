package idempotency_test

import (
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/idempotency"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
)

var (
	testUnit = shard.Unit{Keyspace: "billing", Shard: 1}
	testCopy = idempotency.Member{ID: "b", DataCentre: "south"}
	testDay  = 24 * time.Hour
)

// rig is one owner with copies whose messages arrive at once, except to those
// that are down.
type rig struct {
	now    clock.Reading
	owner  *idempotency.Owner
	copies map[table.MemberID]*idempotency.CopyStore
	down   map[table.MemberID]bool
	// hold selects writes that do not arrive.
	hold func(idempotency.Write) bool
	// seen are the actions other than writes since the last call of do.
	seen []idempotency.Action
}

func newRig(cfg idempotency.Config) *rig {
	cfg.Self = idempotency.Member{ID: "a", DataCentre: "north"}
	return &rig{
		now:   clock.At(1000 * time.Hour),
		owner: idempotency.NewOwner(cfg),
		copies: map[table.MemberID]*idempotency.CopyStore{
			"b": idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 2}),
			"c": idempotency.NewCopyStore(idempotency.CopyConfig{Self: "c", Incarnation: 3}),
		},
		down: map[table.MemberID]bool{},
	}
}

// servingRig has unit testUnit at epoch 2 with the copy b in sync.
func servingRig(cfg idempotency.Config) *rig {
	r := newRig(cfg)
	r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 1, NeverSynced: true, Joining: []idempotency.Member{testCopy},
	}))
	r.do(r.owner.ApplyAssignment(r.now, idempotency.Assignment{Unit: testUnit, Epoch: 2, Copies: []idempotency.Member{testCopy}}))
	return r
}

// do performs writes and returns all other actions.
func (r *rig) do(actions []idempotency.Action) []idempotency.Action {
	r.seen = nil
	r.perform(actions)
	return r.seen
}

func (r *rig) perform(actions []idempotency.Action) {
	for _, action := range actions {
		w, ok := action.(idempotency.Write)
		switch {
		case !ok:
			r.seen = append(r.seen, action)
		case !r.down[w.To] && (r.hold == nil || !r.hold(w)):
			r.perform(r.owner.Acked(r.now, r.copies[w.To].Write(r.now, w.WriteRequest)))
		}
	}
}

func (r *rig) pay(id uint64, key string, change ...func(*idempotency.Request)) []idempotency.Action {
	req := idempotency.Request{ID: id, Unit: testUnit, Key: key, Deadline: r.now.Add(time.Second)}
	for _, f := range change {
		f(&req)
	}
	return r.do(r.owner.Begin(r.now, req))
}

func (r *rig) finish(id uint64, body string) []idempotency.Action {
	return r.do(r.owner.Finished(r.now, id, idempotency.Response{Status: 201, Body: []byte(body)}))
}

func (r *rig) advance(d time.Duration) []idempotency.Action {
	r.now = r.now.Add(d)
	return r.do(r.owner.Tick(r.now))
}
