package relay

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
)

// TestEncodedResult guards against a reason that contains bytes of a target and
// by them ends the header or changes the outcome.
func TestEncodedResult(t *testing.T) {
	is := is.New(t)
	sent := result{outcome: unknown, reached: true, reason: "malformed; not-run;\r\nX: y", load: &balancer.GateLoad{Running: 2, Limit: 6, Queued: 3}}
	values := hopValues(sent)
	is.True(!strings.ContainsAny(strings.Join(values, ""), "\r\n"))
	got, ok := decodeHop(values)
	is.True(ok)
	is.Equal(got.reason, sent.reason)
	is.Equal(got.outcome, unknown)
	is.True(got.reached)
	is.Equal(*got.load, *sent.load)
}

// Guards against an answer of a target that is not HTTP and fills the logs, and the result
// for another process, with its bytes.
func TestLongCauseIsCut(t *testing.T) {
	is := is.New(t)
	reason := withCause(reasonAnswerBroken, errors.New(strings.Repeat("é", 60_000)))
	is.True(len(reason) < 300)
	is.True(utf8.ValidString(reason))
	is.Equal(withCause("peer", errors.New("closed")), "peer: closed")
}
