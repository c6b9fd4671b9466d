package fleetclient

import (
	"context"

	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/router/fleetnode"
)

// Allow is Client.Allow with another client of the control group. The order is based on
// the refusals that the leader knew after Allow was called: a copy that is carried out late
// lifts no refusal that began later.
func Allow(ctx context.Context, leaders LeaderCaller, f quarantine.Fingerprint) (suspected bool, err error) {
	for {
		var current, reply fleetnode.AllowReply
		if err := leaders.CallLeader(ctx, fleetnode.MethodAllow, fleetnode.AllowRequest{Fingerprint: f}, &current); err != nil {
			return false, err
		}
		order := fleetnode.AllowRequest{Fingerprint: f, Base: &current.Base}
		if err := leaders.CallLeader(ctx, fleetnode.MethodAllow, order, &reply); err != nil {
			return false, err
		}
		if reply.Done {
			return reply.Suspected, nil
		}
	}
}
