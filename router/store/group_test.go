package store

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"bramleyquay.example/coord/raft"
	"github.com/matryer/is"
)

// process is a replica that keeps its log in a store.
type process struct {
	id      raft.ID
	fsys    *memFS
	store   *Store
	node    *raft.Node // nil while it is down
	applied uint64
}

// TestGroupOnStores guards against a store and a log that do not fit
// together: replicas crash at any file operation, start again from what the
// store returns, and must agree on everything that was ever applied.
func TestGroupOnStores(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		ids := []raft.ID{"n1", "n2", "n3"}
		group := map[raft.ID]*process{}
		for _, id := range ids {
			group[id] = &process{id: id, fsys: newMemFS(rnd.Uint64())}
		}
		committed, queue, crashes := map[uint64]raft.Entry{}, []raft.Message(nil), 0
		for step := range 6000 {
			p := group[ids[rnd.IntN(len(ids))]]
			switch {
			case p.node == nil && rnd.IntN(10) > 0:
				continue
			case p.node == nil:
				is.NoErr(p.start(ids, rnd))
			case len(queue) > 0 && rnd.IntN(3) > 0:
				m := queue[0]
				queue = queue[1:]
				if p = group[m.To]; p.node == nil {
					continue
				}
				is.NoErr(p.node.Step(m))
			case rnd.IntN(60) == 0:
				p.fsys.crashAt = p.fsys.ops + 1 + rnd.IntN(12)
			case rnd.IntN(4) == 0:
				_, _ = p.node.Propose(fmt.Appendf(nil, "%d", step))
			default:
				p.node.Tick()
			}
			sent, err := p.work(rnd, func(e raft.Entry) {
				c, ok := committed[e.Index]
				is.True(!ok || c.Term == e.Term && bytes.Equal(c.Data, e.Data))
				committed[e.Index] = e
			})
			queue = append(queue, sent...)
			if err != nil {
				p.node, p.fsys = nil, p.fsys.after(loss(rnd.IntN(int(lossKinds))))
				crashes++
			}
		}
		is.True(crashes > 10 && len(committed) > 100)
	}
}

// start opens the store, writes the bootstrap state if there is none, and
// creates the node.
func (p *process) start(ids []raft.ID, rnd *rand.Rand) error {
	s, stored, _, err := Open(p.fsys)
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
	p.store, p.applied = s, stored.Snapshot.Index
	p.node, err = raft.New(raft.Config{ID: p.id, ElectionTicks: 10, HeartbeatTicks: 2,
		Rand: rand.New(rand.NewPCG(rnd.Uint64(), 5))}, stored)
	return err
}

// work carries out Ready as the package comment of raft states it.
func (p *process) work(rnd *rand.Rand, apply func(raft.Entry)) (sent []raft.Message, err error) {
	for p.node.HasReady() {
		rd := p.node.Ready()
		if rd.Snapshot != nil {
			if err := p.store.SaveSnapshot(*rd.Snapshot); err != nil {
				return sent, err
			}
			p.applied = rd.Snapshot.Index
		}
		if err := p.store.Save(rd.HardState, rd.Entries); err != nil {
			return sent, err
		}
		sent = append(sent, rd.Messages...)
		for _, e := range rd.Committed {
			apply(e)
			p.applied = e.Index
		}
		p.node.Advance(rd)
	}
	if rnd.IntN(100) == 0 && p.node.Compact(p.applied, []byte("state")) == nil {
		return sent, p.store.SaveSnapshot(p.node.Snapshot())
	}
	return sent, nil
}
