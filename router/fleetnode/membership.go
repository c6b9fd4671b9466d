package fleetnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
)

func newBirth() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

// join asks the group to be added, for as long as no leader is known. A
// replica that was replaced while it was away comes back in the same way.
func (n *Replica) join(ctx context.Context) {
	for {
		var id raft.ID
		alone := false
		err := n.do(ctx, func() {
			st := n.raft.Status()
			id, alone = st.ID, st.Leader == ""
			n.peers.SetReplicas(addresses(st.Membership))
		})
		if err != nil {
			return
		}
		if addr := n.peers.NextAddress(); alone && addr != "" {
			if err := n.peers.CallAt(ctx, addr, MethodJoin, JoinRequest{ID: id, Cluster: n.cfg.Cluster}, nil); err != nil {
				n.log.Debug().Str("address", addr).Err(err).Msg("request to join failed")
			}
		}
		select {
		case <-time.After(joinInterval):
		case <-ctx.Done():
			return
		}
	}
}

func addresses(m raft.Membership) []string {
	var out []string
	for _, id := range m.Voters {
		out = append(out, fleet.ReplicaAddress(id))
	}
	return out
}

// Transfer hands leadership to another voter; without effect on replicas that
// do not lead.
func (n *Replica) Transfer(ctx context.Context) error {
	var refused error
	err := n.do(ctx, func() {
		st := n.raft.Status()
		if st.Role != raft.Leader {
			return
		}
		var best raft.ID
		for id, p := range st.Progress {
			if id != st.ID && p.Active && !p.Learner && (best == "" || p.Match > st.Progress[best].Match) {
				best = id
			}
		}
		if best == "" {
			refused = Error.New("no other voter can take over leadership")
			return
		}
		refused = n.raft.TransferLeadership(best)
	})
	return errors.Join(err, refused)
}
