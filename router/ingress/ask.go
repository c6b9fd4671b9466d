package ingress

import (
	"context"
	"math/rand/v2"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
)

// maxAsked bounds the processes that are asked for a unit's owner in one turn.
const maxAsked = 3

// askOthers tries a call, which was refused as not run, at owners that other
// processes know. It follows the owner that the refusing gate named if that
// one is newer than the table here. A process that control cannot reach has an
// outdated table, so it asks another process. It returns the last refusal if
// nobody ran the call.
func (in *Ingress) askOthers(ctx context.Context, c *call.Call, epoch uint64, last *outcome.Refusal) (*call.Response, *outcome.Refusal) {
	addr := last.OwnerAddr
	if addr == "" || last.OwnerEpoch <= epoch {
		if in.members.LeaseRemaining() > 0 {
			return nil, last
		}
		addr = in.anyOther(c)
	}
	for range maxAsked {
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

// anyOther returns the address of a random other member of the call's service.
func (in *Ingress) anyOther(c *call.Call) string {
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
