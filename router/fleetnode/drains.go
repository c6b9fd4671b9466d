package fleetnode

import "context"

// DrainsReply has the current drain revision, confirmed by the leader: the base of a
// fleet.SetDrain.
type DrainsReply struct {
	Revision uint64 `json:"revision"`
}

// drains returns the current drain revision.
func (r *Replica) drains(ctx context.Context, _ struct{}) (DrainsReply, error) {
	var reply DrainsReply
	err := r.doAsLeader(ctx, func() error {
		reply = DrainsReply{Revision: r.state.Revisions().Drain}
		return nil
	})
	return reply, err
}
