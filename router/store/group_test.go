package store

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"bramleyquay.example/coord/raft"
	"github.com/matryer/is"
)

// replica is a Raft node with its store.
type replica struct {
	id      raft.ID
	fsys    *memFS
	store   *Store
	node    *raft.Node // nil while it is down
	applied uint64
}

// TestGroupOnStores guards against a store that returns a state with which a
// replica breaks the guarantees of Raft. Replicas crash at any file operation,
// restart from the stored state, and must agree on every applied entry.
func TestGroupOnStores(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		ids := []raft.ID{"n1", "n2", "n3"}
		group := map[raft.ID]*replica{}
		for _, id := range ids {
			group[id] = &replica{id: id, fsys: newMemFS(rnd.Uint64())}
		}
		committed, queue, crashes := map[uint64]raft.Entry{}, []raft.Message(nil), 0
		for step := range 6000 {
			r := group[ids[rnd.IntN(len(ids))]]
			switch {
			case r.node == nil && rnd.IntN(10) > 0:
				continue
			case r.node == nil:
				is.NoErr(r.start(ids, rnd))
			case len(queue) > 0 && rnd.IntN(3) > 0:
				m := queue[0]
				queue = queue[1:]
				if r = group[m.To]; r.node == nil {
					continue
				}
				is.NoErr(r.node.Step(m))
			case rnd.IntN(60) == 0:
				r.fsys.crashAt = r.fsys.ops + 1 + rnd.IntN(12)
			case rnd.IntN(4) == 0:
				_, _ = r.node.Propose(fmt.Appendf(nil, "%d", step))
			default:
				r.node.Tick()
			}
			sent, err := r.handleReady(rnd, func(e raft.Entry) {
				c, ok := committed[e.Index]
				is.True(!ok || c.Term == e.Term && bytes.Equal(c.Data, e.Data))
				committed[e.Index] = e
			})
			queue = append(queue, sent...)
			if err != nil {
				r.node, r.fsys = nil, r.fsys.afterCrash(loss(rnd.IntN(int(lossKinds))))
				crashes++
			}
		}
		is.True(crashes > 10 && len(committed) > 100) // otherwise the seed tests no recovery
	}
}

// start opens the store, writes the bootstrap state if there is none, and
// creates the node.
func (r *replica) start(ids []raft.ID, rnd *rand.Rand) error {
	s, stored, _, err := Open(r.fsys)
	if err != nil {
		return err
	}
	if stored.Snapshot.Index == 0 {
		stored = raft.Bootstrap(ids)
		if err := s.SaveSnapshot(stored.Snapshot); err != nil {
			return err
		}
		if err := s.Save(&stored.HardState, nil); err != nil {
			return err
		}
	}
	r.store, r.applied = s, stored.Snapshot.Index
	r.node, err = raft.New(raft.Config{ID: r.id, ElectionTicks: 10, HeartbeatTicks: 2,
		Rand: rand.New(rand.NewPCG(rnd.Uint64(), 5))}, stored)
	return err
}

// handleReady processes Ready as the package comment of raft requires.
func (r *replica) handleReady(rnd *rand.Rand, apply func(raft.Entry)) (sent []raft.Message, err error) {
	for r.node.HasReady() {
		rd := r.node.Ready()
		if rd.Snapshot != nil {
			if err := r.store.SaveSnapshot(*rd.Snapshot); err != nil {
				return sent, err
			}
			r.applied = rd.Snapshot.Index
		}
		if err := r.store.Save(rd.HardState, rd.Entries); err != nil {
			return sent, err
		}
		sent = append(sent, rd.Messages...)
		for _, e := range rd.Committed {
			apply(e)
			r.applied = e.Index
		}
		r.node.Advance(rd)
	}
	if rnd.IntN(100) == 0 && r.node.Compact(r.applied, []byte("state")) == nil {
		return sent, r.store.SaveSnapshot(r.node.Snapshot())
	}
	return sent, nil
}
