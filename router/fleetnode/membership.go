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

// newDataDirID returns a random id for a data directory, which makes the id of
// a replica with a new data directory differ from its earlier one.
func newDataDirID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

// join asks the group to add this replica, again and again while fleet.MustJoin
// says so. It also passes the voters' addresses to the leader client. It blocks
// until ctx ends.
func (r *Replica) join(ctx context.Context) {
	outside := false
	for {
		var st raft.Status
		err := r.do(ctx, func() {
			st = r.raft.Status()
			r.peers.SetReplicas(addresses(st.Membership))
		})
		if err != nil {
			return
		}
		if listed := st.Membership.Contains(st.ID); listed == outside {
			outside = !listed
			r.log.Info().Bool("member", listed).Str("leader", string(st.Leader)).Uint64("term", st.Term).Msg("membership of this replica changed")
		}
		if addr := r.peers.NextAddress(); addr != "" && fleet.MustJoin(st) {
			if err := r.peers.CallAt(ctx, addr, MethodJoin, JoinRequest{ID: st.ID, Cluster: r.cfg.Cluster}, nil); err != nil {
				r.log.Debug().Str("address", addr).Err(err).Msg("request to join failed")
			}
		}
		select {
		case <-time.After(joinInterval):
		case <-ctx.Done():
			return
		}
	}
}

// addresses returns the peer addresses of the voters.
func addresses(m raft.Membership) []string {
	var list []string
	for _, id := range m.Voters {
		list = append(list, fleet.ReplicaAddress(id))
	}
	return list
}

// Transfer starts a transfer of leadership to the active voter whose log is
// the most up to date. It does not wait until the other replica leads, and the
// transfer is cancelled if that replica has not caught up within the election
// timeout. It does nothing on replicas that do not lead, and returns an error
// if no other voter can take over.
func (r *Replica) Transfer(ctx context.Context) error {
	var refused error
	err := r.do(ctx, func() {
		st := r.raft.Status()
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
		refused = r.raft.TransferLeadership(best)
	})
	return errors.Join(err, refused)
}
