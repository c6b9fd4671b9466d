package fleetnode

import (
	"context"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/router/timesource"
)

// AllowRequest asks the leader to no longer refuse a request that has ended targets.
// Without a base it only asks for the current one.
type AllowRequest struct {
	Fingerprint quarantine.Fingerprint `json:"request"`
	Base        *fleet.AllowBase       `json:"base,omitempty"`
}

// AllowReply says whether the order was carried out and whether the request was watched
// or refused. Base is the current one.
type AllowReply struct {
	Done      bool            `json:"done"`
	Suspected bool            `json:"suspected"`
	Base      fleet.AllowBase `json:"base"`
}

func (r *Replica) allow(ctx context.Context, request AllowRequest) (AllowReply, error) {
	var reply AllowReply
	err := r.doAsLeader(ctx, func() error {
		if request.Base != nil {
			reply.Suspected, reply.Done = r.leader.AllowRequest(timesource.BootTime(), request.Fingerprint, *request.Base)
			r.log.Info().Str("fingerprint", request.Fingerprint.String()).Bool("suspected", reply.Suspected).Bool("done", reply.Done).Msg("operator allows a request")
		}
		reply.Base = r.leader.AllowBase()
		return nil
	})
	return reply, err
}
