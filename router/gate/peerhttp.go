package gate

import (
	"context"
	"net/http"
	"strconv"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
)

// ServeHTTP implements http.Handler. It runs a call that the ingress of another
// process has forwarded.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refusal := call.Build(g.members.View().Document, call.IdentityFromPeer(r), r)
	if refusal == nil {
		refusal = c.Receive(w)
	}
	if refusal != nil {
		call.WriteRefusal(w, refusal)
		return
	}
	resp, refusal := g.cfg.Stopper.Do(r.Context(), func(ctx context.Context) (*call.Response, *outcome.Refusal) { return g.Do(ctx, c) })
	w.Header().Set(call.HeaderLoad, g.loadHeader())
	if refusal != nil {
		g.nameOwner(c, refusal)
		call.WriteRefusal(w, refusal)
		return
	}
	call.WriteResponse(w, resp, nil)
}

// nameOwner adds the unit's owner to a refusal, because the sender's table may be
// older than the one of this process.
func (g *Gate) nameOwner(c *call.Call, r *outcome.Refusal) {
	if r.Reason != outcome.ReasonNotOwner || !c.Sharded() {
		return
	}
	v := g.members.View()
	e := v.Table.Lookup(c.Keyspace, c.Hash)
	if e == nil || e.Phase != table.Serving || e.Owner == g.cfg.Self {
		return
	}
	if m, ok := v.Directory.Member(e.Owner); ok {
		r.OwnerAddr, r.OwnerEpoch = m.PeerAddr, e.Epoch
	}
}

// loadHeader returns running/limit/queued, by which the sender's balancer chooses
// among targets.
func (g *Gate) loadHeader() string {
	running, limit, queued := g.limiter.load()
	return strconv.Itoa(running) + "/" + strconv.Itoa(limit) + "/" + strconv.Itoa(queued)
}
