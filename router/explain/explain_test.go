package explain_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/explain"
)

const logs = `
  3.1 host {"time":"2026-12-04T09:00:00.000Z","level":"warn","process":"p2","part":"member","target":"t2","message":"target cannot be reached"}
{"time":"2026-12-04T09:00:01.000Z","level":"warn","process":"p2","part":"gate","request":"a1","target":"t2","outcome":"not-run","reason":"no target","message":"request left the gate"}
{"time":"2026-12-04T09:00:01.100Z","level":"warn","process":"p1","part":"ingress","request":"a1","status":503,"outcome":"not-run","reason":"no target","message":"request answered"}
{"time":"2026-12-04T09:00:01.050Z","level":"warn","process":"p3","part":"ingress","request":"a1.c","status":504,"outcome":"unknown","reason":"x","message":"request answered"}
{"time":"2026-12-04T08:00:01.050Z","level":"warn","process":"p1","part":"member","message":"control lost"}
not a line
{"time":"2026-12-04T09:00:02.000Z","level":"warn","process":"p1","part":"ingress","request":"b1","status":502,"outcome":"unknown","reason":"answer broke off","message":"request answered"}
{"time":"2026-12-04T09:00:03.000Z","level":"info","process":"p1","part":"ingress","account":"north","request":"c1","status":429,"outcome":"not-run","reason":"account is over its limit","message":"request answered"}
`

// Guards against an explanation that leaves out the event that caused a failure or the
// account, or that includes an event from long before.
func TestRequest(t *testing.T) {
	is := is.New(t)
	lines, err := explain.Read(strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(len(lines), 7)
	r, err := explain.ExplainRequest("a1", lines)
	is.NoErr(err)
	is.Equal(len(r.Lines), 3)
	is.Equal(len(r.NearbyEvents), 1)
	is.Equal(r.Cause, "refused 503, it did not run: no target; last at target t2, process p2; 1 of its own calls failed")
	r, err = explain.ExplainRequest("b1", lines)
	is.NoErr(err)
	is.True(strings.HasPrefix(r.Cause, "answered 502, it may have run: answer broke off"))
	r, err = explain.ExplainRequest("c1", lines)
	is.NoErr(err)
	is.Equal(r.Cause, "refused 429 at the entry: account is over its limit; account north")
	_, err = explain.ExplainRequest("none", lines)
	is.True(err != nil)
}

// Guards against one line with a long text of a caller that hides all lines of a log, and
// against the id of a request that is not UTF-8 and is not found.
func TestOddLines(t *testing.T) {
	is := is.New(t)
	log := `{"part":"ingress","request":"a","status":200,"path":"` + strings.Repeat("x", 2<<20) + "\"}\n" +
		`2026 x {"part":"ingress","request":"\\xff","status":503,"outcome":"not-run","reason":"r;\u0001"}`
	lines, err := explain.Read(strings.NewReader(log))
	is.NoErr(err)
	r, err := explain.ExplainRequest("\xff", lines)
	is.NoErr(err)
	is.Equal(len(r.Lines), 1)
	is.True(strings.HasSuffix(r.Cause, "it did not run: r;\u0001; it reached no gate"))
}
