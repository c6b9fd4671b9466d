package settings

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"

	"bramleyquay.example/router/strictjson"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Load reads the settings of a process. An error means that the file could not
// be read. With findings the process must not start; the settings then hold
// what could be read. Relative paths in the file are relative to its folder
// and are returned joined to it.
func Load(path string) (*Settings, []Finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, Error.New("cannot read settings: %w", err)
	}
	s, positions, found := parse(text)
	if positions.Has("") {
		s.resolve(filepath.Dir(path))
		c := &checker{Validator: NewChecks(positions, found), settings: s}
		c.checkAll()
		c.checkFiles()
		found = c.findings
	}
	return s, FindingsInFile(path, found), nil
}

// Check returns the findings of a settings file.
func Check(path string) ([]Finding, error) {
	_, findings, err := Load(path)
	return findings, err
}

// parse decodes text and fills in default values. It touches no file.
func parse(text []byte) (*Settings, *strictjson.Positions, []strictjson.Finding) {
	s := &Settings{
		Log:               Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
		ShutdownTimeoutMs: DefaultShutdownTimeoutMs,
	}
	positions, found := strictjson.Decode(text, s)
	return s, positions, found
}

// resolve joins relative paths to the folder of the settings file.
func (s *Settings) resolve(folder string) {
	paths := []*string{&s.SecretFile, &s.Control.DataFolder, &s.TLS.CertFile, &s.TLS.KeyFile, &s.TLS.CAFile}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}

// ReadSecretFile reads a shared secret. Surrounding white space is ignored,
// because editors end files with a line break.
func ReadSecretFile(path string) (Secret, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Secret{}, Error.New("cannot read secret file: %w", err)
	}
	value := strings.TrimSpace(string(text))
	if len([]rune(value)) < MinSecretLength {
		return Secret{}, Error.New("secret file %s holds fewer than %d characters", path, MinSecretLength)
	}
	return NewSecret(value), nil
}
