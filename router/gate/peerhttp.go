package gate

import (
	"net/http"
	"strconv"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/call"
)

// ServeHTTP answers a call that another process forwarded.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refusal := call.Build(g.members.View().Document, call.IdentityFromPeer(r), r)
	if refusal == nil {
		refusal = c.Receive(w)
	}
	if refusal != nil {
		call.WriteRefusal(w, refusal)
		return
	}
	resp, refusal := g.Do(r.Context(), c)
	w.Header().Set(call.HeaderLoad, g.loadHeader())
	if refusal != nil {
		g.nameOwner(c, refusal)
		call.WriteRefusal(w, refusal)
		return
	}
	call.WriteResponse(w, resp, nil)
}

// nameOwner tells the sender who serves the unit, because its table may be
// older than this one.
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

// loadHeader gives running, limit and queue length for the sender's choice of
// targets.
func (g *Gate) loadHeader() string {
	running, limit, queued := g.slots.load()
	return strconv.Itoa(running) + "/" + strconv.Itoa(limit) + "/" + strconv.Itoa(queued)
}
