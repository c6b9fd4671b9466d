package relay

import (
	"math"
	"net/http"
	"strconv"

	"bramleyquay.example/coord/dispatch"
)

// notice is what a target says about its own state in an answer.
type notice struct {
	limit dispatch.Limit
	// leaving is set if the target stops.
	leaving bool
}

// minLimit is the lowest limit per second that is applied. A target that names zero
// must still get requests, because its answers end the limit.
const minLimit = 0.5

// notice returns what an answer says about the state of its target. An answer that
// the target did not write says nothing; neither does a malformed limit, so that an
// earlier one stays in force.
func (g *Gate) notice(status int, h http.Header) notice {
	signed := h.Get(g.names.Signature) != ""
	if !signed && h.Get(g.names.NotRun) == "" || status == http.StatusMisdirectedRequest {
		return notice{}
	}
	n := notice{leaving: h.Get(g.names.Leaving) != ""}
	text := h.Get(g.names.Limit)
	if text == "" {
		n.limit.Known = signed
		return n
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		g.log.Warn().Str("limit", text).Msg("limit ignored: not a number of requests per second")
		return n
	}
	n.limit = dispatch.Limit{Known: true, Rate: max(rate, minLimit)}
	return n
}
