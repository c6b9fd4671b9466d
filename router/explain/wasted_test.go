package explain_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/explain"
)

// Guards against an explanation that blames the target for a run that failed because a
// called service had no room.
func TestWastedRun(t *testing.T) {
	is := is.New(t)
	lines, err := explain.Read(strings.NewReader(`
{"process":"p2","part":"gate","request":"c1","target":"t2","outcome":"done","status":503,"wasted":true,"message":"request left the gate"}
{"process":"p1","part":"ingress","request":"c1","status":503,"outcome":"done","message":"request answered"}
`))
	is.NoErr(err)
	r, err := explain.ExplainRequest("c1", lines)
	is.NoErr(err)
	is.Equal(r.Cause, "the target itself answered 503; last at target t2, process p2; the run failed for lack of room at a called service")
}
