package routefile_test

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/routefile"
)

// Guards against times that are read in the wrong unit, and against a published
// example with findings.
func TestExample(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../examples/ranges/routes.hujson")
	is.NoErr(err)
	d, findings := routefile.Parse(text)
	is.Equal(len(findings), 0)
	is.Equal(d.Version, uint64(1))
	is.Equal(d.Routes[0].Timeout, 5*time.Second)
	is.True(d.Services[0].Sharded)
}

// Guards against invalid documents without findings: one with an unknown field,
// and one with a route to a service that does not exist.
func TestFindings(t *testing.T) {
	is := is.New(t)
	_, findings := routefile.Parse([]byte(`{"version": 1, "rules": []}`))
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Line, 1)
	_, findings = routefile.Parse([]byte(`{"version": 1, "routes": [
		{"name": "a", "host": "h", "prefix": "/", "kind": "safe", "parts": [{"service": "x", "weight": 1}]}]}`))
	is.True(len(findings) > 0)
}
