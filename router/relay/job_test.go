package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
)

// Guards against a reason with a target's bytes in it that ends the header or
// hides the outcome.
func TestResultOnTheWire(t *testing.T) {
	is := is.New(t)
	sent := result{kind: unknown, reached: true, reason: "malformed; not-run;\r\nX: y", load: &balancer.GateLoad{Running: 2, Limit: 6, Queued: 3}}
	text := encodeResult(sent)
	is.True(!strings.ContainsAny(text, "\r\n"))
	got, ok := decodeResult(text)
	is.True(ok)
	is.Equal(got.kind, unknown)
	is.True(got.reached)
	is.Equal(*got.load, *sent.load)
}
