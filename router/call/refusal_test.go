package call_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/outcome"
	"bramleyquay.example/router/call"
)

// Guards against a refusal whose reason another process cannot read, because the detail
// quotes more bytes of a target than it reads of a refusal.
func TestLongDetail(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	call.WriteRefusal(w, outcome.NewNotRun(outcome.ReasonShed, strings.Repeat("\x01", 60_000)))
	r, ok := call.ReadRefusal(w.Result())
	is.True(ok)
	is.Equal(r.Reason, outcome.ReasonShed)
	is.Equal(r.Outcome, outcome.NotRun)
}
