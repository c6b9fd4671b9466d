package ingress

import (
	"context"
	"math/rand/v2"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
)

// maxOwnerHints bounds the processes that one call of followOwnerHints tries.
const maxOwnerHints = 3

// followOwnerHints tries a call that was refused as not run at the owners that the
// refusals of gates name, as long as each is of a later epoch than the one before;
// epoch is that of the table entry. If the refusal names no such owner, it tries a
// random process of the service, but only if this member's lease has expired: a
// process without contact to control has an outdated table. It returns the last
// refusal if no process ran the call.
func (in *Ingress) followOwnerHints(ctx context.Context, c *call.Call, epoch uint64, last *outcome.Refusal) (*call.Response, *outcome.Refusal) {
	addr := last.OwnerAddr
	if addr == "" || last.OwnerEpoch <= epoch {
		if in.members.LeaseRemaining() > 0 {
			return nil, last
		}
		addr = in.randomPeerAddr(c)
	}
	for range maxOwnerHints {
		if addr == "" {
			break
		}
		resp, _, refusal := in.remote.Forward(ctx, addr, c)
		if refusal == nil || refusal.Outcome != outcome.NotRun {
			return resp, refusal
		}
		last, addr = refusal, ""
		if refusal.OwnerEpoch > epoch {
			addr, epoch = refusal.OwnerAddr, refusal.OwnerEpoch
		}
	}
	return nil, last
}

// randomPeerAddr returns the address of a random member of the call's service, or
// "" if there is none or this member was drawn.
func (in *Ingress) randomPeerAddr(c *call.Call) string {
	members := in.members.View().Directory.Service(c.Service)
	if len(members) == 0 {
		return ""
	}
	m := members[rand.IntN(len(members))]
	if m.ID == in.cfg.Self {
		return ""
	}
	return m.PeerAddr
}
