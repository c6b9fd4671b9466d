package gate

import (
	"net/http"
	"strconv"

	"bramleyquay.example/router/call"
)

// ServeHTTP answers a call that another process forwarded.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refusal := call.Build(g.members.View().Document, call.HopNames(r), r)
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
		call.WriteRefusal(w, refusal)
		return
	}
	call.WriteResponse(w, resp, nil)
}

// loadHeader gives running, limit and queue length for the sender's choice of
// targets.
func (g *Gate) loadHeader() string {
	st := g.slots.status()
	return strconv.Itoa(st.Running) + "/" + strconv.Itoa(st.Limit) + "/" + strconv.Itoa(st.Queued)
}
