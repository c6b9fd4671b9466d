package fleetnode

import "context"

// DrainsReply is the newest drain state, confirmed by the leader.
type DrainsReply struct {
	// Revision is the base of a fleet.SetDrain.
	Revision uint64   `json:"revision"`
	Drained  []string `json:"drained"`
}

// drains returns the newest drain state.
func (r *Replica) drains(ctx context.Context, _ struct{}) (DrainsReply, error) {
	var reply DrainsReply
	err := r.doAsLeader(ctx, func() error {
		reply = DrainsReply{Revision: r.state.Revisions().Drain, Drained: r.state.Drained()}
		return nil
	})
	return reply, err
}
