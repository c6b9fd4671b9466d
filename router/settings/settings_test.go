package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{
  // a control replica that is also the sidecar of a target
  "id": "n1", "dataCentre": "muscat-1", "cluster": "muscat",
  "secret": "0123456789abcdef",
  "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:7001", "platform": "127.0.0.1:7002"},
  "control": {"replica": true, "dataFolder": ".", "bootstrap": true,
    "peers": [{"id": "n1", "address": "127.0.0.1:7001"}]},
  "target": {"expected": true, "checksFences": true},
}`

func load(t *testing.T, text string) (*Settings, []string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, findings, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, f := range findings {
		out = append(out, strings.TrimPrefix(f.String(), path+":"))
	}
	return s, out
}

// Guards against comments that are refused and default values that are missing.
func TestLoadAcceptsCommentsAndFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, findings := load(t, validSettings)
	is.Equal(findings, nil)
	is.Equal(s.Log, Log{Level: "info", Format: "json"})
	is.Equal(s.ShutdownTimeoutMs, int64(30_000))
	is.Equal(string(s.Secret.Bytes()), "0123456789abcdef")
	is.True(filepath.IsAbs(s.Control.DataFolder))
}

// Guards against a check that stops at the first fault, and against wrong
// positions.
func TestLoadReportsEveryFindingWithItsPosition(t *testing.T) {
	is := is.New(t)
	_, findings := load(t, `{
  "id": "n:1",
  "dataCenter": "x",
  "secret": "short",
  "listen": {"caller": "localhost:80", "peer": "127.0.0.1:7001", "admin": "0.0.0.0:7001"},
  "control": {"replica": true, "bootstrap": true,
    "peers": [{"id": "n2", "address": "127.0.0.1:0"}]},
  "shutdownTimeoutMs": "5s"
}`)
	is.Equal(findings, []string{
		`1:1: dataCentre: is missing`,
		`1:1: cluster: is missing`,
		`2:9: id: may hold letters, digits, '-', '_' and '.' only`,
		`3:3: dataCenter: unknown field; did you mean dataCentre?`,
		`4:13: secret: must have at least 16 characters`,
		`5:24: listen.caller: "localhost:80" is not an address with a numeric IP and a port, such as 127.0.0.1:7000 or [::1]:7000`,
		`5:75: listen.admin: 0.0.0.0:7001 is also used by listen.peer`,
		`6:14: control.dataFolder: is missing: a control replica needs a data folder`,
		`6:45: control.bootstrap: peers does not name this process ("n:1"), which would bootstrap a group without itself`,
		`7:39: control.peers[0].address: "127.0.0.1:0" cannot be dialled: name the IP and the port`,
		`8:24: shutdownTimeoutMs: expected a whole number of milliseconds, found a string`,
	})
}

// Guards against contradictory settings that show only at run time.
func TestLoadFindsContradictions(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"two secrets", `"secret": "0123456789abcdef"`, `"secret": "0123456789abcdef", "secretFile": "x"`, "secretFile: secret and secretFile exclude each other"},
		{"no secret", `"secret": "0123456789abcdef",`, ``, "secret: is missing"},
		{"missing secret file", `"secret": "0123456789abcdef"`, `"secretFile": "none"`, "secretFile: cannot read secret file"},
		{"missing folder", `"dataFolder": "."`, `"dataFolder": "none"`, "does not exist"},
		{"folder is a file", `"dataFolder": "."`, `"dataFolder": "s.json"`, "is not a folder"},
		{"no platform", `, "platform": "127.0.0.1:7002"`, ``, "listen.platform: is missing"},
		{"no role", `"replica": true, "dataFolder": ".", "bootstrap": true,`, ``, "control.replica: peers names this process"},
		{"no peers", `[{"id": "n1", "address": "127.0.0.1:7001"}]`, `[]`, "control.peers: is missing"},
		{"duplicate peer", `[{`, `[{"id": "n1", "address": "127.0.0.1:7001"}, {`, `control.peers[1].id: "n1" is also the id of control.peers[0]`},
		{"duplicate field", `"id": "n1", "d`, `"id": "n1", "id": "n2", "d`, "id: field is given twice"},
		{"no certificate", `"target"`, `"tls": {"certFile": "a"}, "target"`, "tls: certFile and keyFile go together"},
		{"null", `"muscat",`, `null,`, "cluster: expected a string, found null"},
		{"seconds", `"target"`, `"shutdownTimeoutMs": 99999999, "target"`, "shutdownTimeoutMs: must be from 0 to 3600000 milliseconds"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(validSettings, c.old) {
				t.Fatalf("%q is not in the text", c.old)
			}
			_, findings := load(t, strings.Replace(validSettings, c.old, c.new, 1))
			if !strings.Contains(strings.Join(findings, "\n"), c.want) {
				t.Errorf("want %q, got %q", c.want, findings)
			}
		})
	}
	t.Run("no caller listener", func(t *testing.T) {
		text := strings.NewReplacer(`"caller": "127.0.0.1:0", `, ``, `"replica": true, "dataFolder": ".", "bootstrap": true,`, ``, `"id": "n1", "address"`, `"id": "n2", "address"`).Replace(validSettings)
		_, findings := load(t, text)
		if !strings.Contains(strings.Join(findings, "\n"), "listen.caller: is missing") {
			t.Errorf("got %q", findings)
		}
	})
}

// Guards against a secret in a log, a dump or a finding.
func TestSecretIsNeverPrinted(t *testing.T) {
	is := is.New(t)
	const value = "correct horse battery"
	s := Settings{Secret: NewSecret(value)}
	encoded, err := json.Marshal(s)
	is.NoErr(err)
	outputs := []string{string(encoded), s.Secret.String()}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		outputs = append(outputs, fmt.Sprintf(verb, s), fmt.Sprintf(verb, &s), fmt.Sprintf(verb, struct{ hidden Settings }{s}))
	}
	for _, out := range outputs {
		is.True(!strings.Contains(out, value))
		is.True(!strings.Contains(out, fmt.Sprintf("%x", value)))
	}
	for _, text := range []string{`"secret": correcthorse`, `"secret": "correct horse` + "\n\"", `"secret": ["correct horse battery"]`} {
		_, findings := load(t, strings.Replace(validSettings, `"secret": "0123456789abcdef"`, text, 1))
		is.True(len(findings) > 0)
		is.True(!strings.Contains(strings.Join(findings, " "), "correct"))
	}
}

// Guards against panics and against findings at positions outside of the text.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{validSettings, "", "{", `{"id":1e400}`, `{"control":{"peers":[{},{}]}}`, `{"listen":{"peer":"[::]:1"}}`, "/*", `{"a\u0000":[[[[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, positions, findings := parse(text)
		if positions.Has("") {
			c := &checker{Validator: NewValidator(positions, findings), settings: s}
			c.checkAll()
			findings = c.findings
		}
		lines := strings.Count(string(text), "\n") + 1
		for _, finding := range FindingsInFile("f", findings) {
			if finding.Line < 1 || finding.Line > lines || finding.Column < 1 || finding.Text == "" {
				t.Fatalf("finding %v is outside of the text's %d lines", finding, lines)
			}
		}
	})
}
