package fleetsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/fleetsettings"
)

// settingsFolder returns a folder with a data folder and a secret file.
func settingsFolder(t *testing.T) string {
	f := t.TempDir()
	if err := os.Mkdir(filepath.Join(f, "data"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(f, "secret"), []byte("0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against published examples with findings: operators copy the examples,
// and their processes would not start.
func TestExamplesHaveNoFindings(t *testing.T) {
	is := is.New(t)
	f := settingsFolder(t)
	for _, name := range []string{"member", "replica"} {
		text, err := os.ReadFile("../../examples/ranges/" + name + ".hujson")
		is.NoErr(err)
		copied := filepath.Join(f, name)
		is.NoErr(os.WriteFile(copied, text, 0o600))
		s, findings, err := fleetsettings.Load(copied)
		is.NoErr(err)
		is.Equal(len(findings), 0)
		cfg := s.Config()
		is.Equal(string(cfg.Secret), "0123456789abcdef")
		is.Equal(cfg.Lease.MaxHold, 10*time.Second)
		is.Equal(cfg.Sidecar != nil, name == "member")
		is.Equal(cfg.Control != nil, name == "replica")
	}
}

// Guards against settings that are accepted though the process cannot work with
// them, and against several findings for one cause.
func TestFindings(t *testing.T) {
	for want, text := range map[string]string{
		"cluster":                  `"cluster": ""`,
		"secretFile":               `"secretFile": ""`,
		"peer":                     `"peer": "host:1"`,
		"seeds":                    `"seeds": []`,
		"listen.gate":              `"listen": {"caller": "127.0.0.1:1", "target": "127.0.0.1:2"}`,
		"control.losses":           `"control": {"dataFolder": "data", "losses": -1}`,
		"control.dataFolder":       `"control": {"dataFolder": "nowhere"}`,
		"lease.maxHoldMs":          `"lease": {"announceIntervalMs": 5000, "maxHoldMs": 1000}`,
		"lease.grants":             `"lease": {"grants": "never"}`,
		"logLevel":                 `"logLevel": "loud"`,
		"lease.announceIntervalMs": `"lease": {"announceIntervalMs": 0}`,
		"listen.gatePort":          `"listen": {"caller": "127.0.0.1:1", "target": "127.0.0.1:2", "gate": "127.0.0.1:3", "gatePort": 70000}`,
	} {
		is := is.New(t)
		file := filepath.Join(settingsFolder(t), "settings")
		base := map[string]string{
			"cluster": `"cluster": "c"`, "secretFile": `"secretFile": "secret"`, "peer": `"peer": "127.0.0.1:9"`,
			"seeds":  `"seeds": ["127.0.0.2:9"]`,
			"target": `"target": {"dataCentre": "a", "service": "s", "address": "127.0.0.1:5"}`,
			"listen": `"listen": {"caller": "127.0.0.1:1", "target": "127.0.0.1:2", "gate": "127.0.0.1:3"}`,
		}
		key, _, _ := strings.Cut(strings.TrimPrefix(text, `"`), `"`)
		base[key] = text
		var parts []string
		for _, p := range base {
			parts = append(parts, p)
		}
		is.NoErr(os.WriteFile(file, []byte("{"+strings.Join(parts, ",\n")+"}"), 0o600))
		_, findings, err := fleetsettings.Load(file)
		is.NoErr(err)
		if len(findings) != 1 || findings[0].Path != want {
			t.Errorf("%s: findings %v", text, findings)
		}
	}
}
