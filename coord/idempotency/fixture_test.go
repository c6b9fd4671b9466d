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

// fixture is one owner with two copies. Writes are delivered at once, except to
// copies in down.
type fixture struct {
	now    clock.Reading
	owner  *idempotency.Owner
	copies map[table.MemberID]*idempotency.CopyStore
	down   map[table.MemberID]bool
	// dropWrite, if not nil, selects writes that are not delivered.
	dropWrite func(idempotency.Write) bool
	// otherActions are the actions other than writes since the last call of do.
	otherActions []idempotency.Action
}

func newFixture(cfg idempotency.Config) *fixture {
	cfg.Self = idempotency.Member{ID: "a", DataCentre: "north"}
	return &fixture{
		now:   clock.At(1000 * time.Hour),
		owner: idempotency.NewOwner(cfg),
		copies: map[table.MemberID]*idempotency.CopyStore{
			"b": idempotency.NewCopyStore(idempotency.CopyConfig{Self: "b", Incarnation: 2}),
			"c": idempotency.NewCopyStore(idempotency.CopyConfig{Self: "c", Incarnation: 3}),
		},
		down: map[table.MemberID]bool{},
	}
}

// newServingFixture returns an owner that serves testUnit at epoch 2 with the copy b in sync.
func newServingFixture(cfg idempotency.Config) *fixture {
	f := newFixture(cfg)
	f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{
		Unit: testUnit, Epoch: 1, NeverSynced: true, Syncing: []idempotency.Member{testCopy},
	}))
	f.do(f.owner.ApplyAssignment(f.now, idempotency.Assignment{Unit: testUnit, Epoch: 2, Copies: []idempotency.Member{testCopy}}))
	return f
}

// do delivers the writes among actions and returns all other actions, including
// those that the replies to the writes lead to.
func (f *fixture) do(actions []idempotency.Action) []idempotency.Action {
	f.otherActions = nil
	f.perform(actions)
	return f.otherActions
}

func (f *fixture) perform(actions []idempotency.Action) {
	for _, action := range actions {
		w, ok := action.(idempotency.Write)
		switch {
		case !ok:
			f.otherActions = append(f.otherActions, action)
		case !f.down[w.To] && (f.dropWrite == nil || !f.dropWrite(w)):
			f.perform(f.owner.Acked(f.now, f.copies[w.To].Write(f.now, w.WriteRequest)))
		}
	}
}

func (f *fixture) pay(id uint64, key string, change ...func(*idempotency.Request)) []idempotency.Action {
	req := idempotency.Request{ID: id, Unit: testUnit, Key: key, Deadline: f.now.Add(time.Second)}
	for _, modify := range change {
		modify(&req)
	}
	return f.do(f.owner.Begin(f.now, req))
}

func (f *fixture) finish(id uint64, body string) []idempotency.Action {
	return f.do(f.owner.Finished(f.now, id, idempotency.Response{Status: 201, Body: []byte(body)}))
}

func (f *fixture) advance(d time.Duration) []idempotency.Action {
	f.now = f.now.Add(d)
	return f.do(f.owner.Tick(f.now))
}
