package fleetnode

import (
	"context"
	"net"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/timesource"
)

const (
	// probeInterval is the time between two probes of a silent replica. Several fit
	// into the time after which a silent voter is replaced.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the time limit of each step of a probe.
	probeTimeout = 500 * time.Millisecond
)

// PingReply is the answer to MethodPing.
type PingReply struct {
	ID raft.ID `json:"id"`
}

// ping answers without the replica's goroutine, so that a replica whose disk stalls
// answers, too.
func (r *Replica) ping(context.Context, struct{}) (PingReply, error) { return PingReply{ID: r.id}, nil }

// probeSilentReplicas probes the replicas that send no replies, for the membership
// manager. It does not block. It runs on the replica's goroutine.
func (r *Replica) probeSilentReplicas(now clock.Reading) {
	if now.MonoSince(r.lastProbe) < probeInterval {
		return
	}
	r.lastProbe = now
	for _, id := range fleet.Silent(r.raft.Status()) {
		if r.probing[id] {
			continue
		}
		r.probing[id] = true
		go func() {
			result := r.probe(id)
			// It fails only if the replica has stopped.
			_ = r.do(context.Background(), func() {
				delete(r.probing, id)
				if r.membership != nil {
					r.membership.RecordProbe(timesource.BootTime(), id, result)
				}
			})
		}()
	}
}

// probe finds out whether a replica's process answers or its machine accepts
// connections. It blocks for at most two times probeTimeout.
func (r *Replica) probe(id raft.ID) fleet.ProbeResult {
	address := fleet.ReplicaAddress(id)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var reply PingReply
	if err := r.peers.CallReplica(ctx, address, MethodPing, struct{}{}, &reply); err == nil && reply.ID == id {
		return fleet.Answers
	}
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return fleet.Unreachable
	}
	_ = conn.Close() // nothing was written to it
	return fleet.Connects
}
