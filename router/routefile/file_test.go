package routefile_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
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

// Guards against fields of accounts that are read wrongly or not at all, and against a
// published example with findings.
func TestAccountsExample(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../examples/ranges/accounts.hujson")
	is.NoErr(err)
	d, findings := routefile.Parse(text)
	is.Equal(len(findings), 0)
	first := 0
	is.Equal(d.Accounts, []routes.Account{
		{Name: "box-office", KeyHashes: routes.HashKeys([]string{"example-key-1", "example-key-2"}), Priority: &first, Rate: 200, Burst: 50},
		{Name: "reports", KeyHashes: routes.HashKeys([]string{"example-key-3"}), Weight: 0.5},
	})
	is.True(!d.Routes[0].Public && d.Routes[1].Public)
}

// Guards against findings that show a key, and against invalid accounts without findings.
func TestFindingsOfAccounts(t *testing.T) {
	for _, accounts := range []string{
		`[{"name": "a", "keys": ["secret-1", "secret-1"]}]`, `[{"name": "a", "keys": ["secret-1"]}, {"name": "b", "keys": ["secret-1"]}]`,
		`[{"name": "a", "keys": ["secret-1", ""]}]`, `[{"name": "a", "keys": "secret-1"}]`, `[{"name": "a", "keys": ["secret-1", 17]}]`,
		`[{"name": "a", "keys": ["secret-1", secret-2]}]`, `[{"name": "a", "keys": ["secret-1]}]`, `[{"name": "a", "keys": ["secret-1"] "secret-2"}]`,
		`[{"name": "a", "keys": ["secret-1"], "rate": "secret-1"}]`, `[{"name": "a", "keys": ["secret 1"]}]`,
	} {
		_, findings := routefile.Parse([]byte(`{"version": 1, "accounts": ` + accounts + `}`))
		if len(findings) == 0 || strings.Contains(fmt.Sprint(findings), "secret") {
			t.Errorf("%s: %v", accounts, findings)
		}
	}
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
