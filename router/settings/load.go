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

// Load reads and checks the settings of a process. It returns an error only if
// the file cannot be read. With findings the process must not start; the
// settings then contain the values that could be decoded. Relative paths in the
// file are relative to its folder and are returned joined to it.
func Load(path string) (*Settings, []Finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, Error.New("cannot read settings: %w", err)
	}
	s, positions, findings := parse(text)
	if positions.Has("") {
		s.resolvePaths(filepath.Dir(path))
		c := &checker{Validator: NewValidator(positions, findings), settings: s}
		c.checkAll()
		c.checkFiles()
		findings = c.findings
	}
	return s, FindingsInFile(path, findings), nil
}

// Check returns the findings of a settings file, or an error if the file cannot
// be read.
func Check(path string) ([]Finding, error) {
	_, findings, err := Load(path)
	return findings, err
}

// parse decodes text and sets default values. It reads no file.
func parse(text []byte) (*Settings, *strictjson.Positions, []strictjson.Finding) {
	s := &Settings{
		Log:               Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
		ShutdownTimeoutMs: DefaultShutdownTimeoutMs,
	}
	positions, findings := strictjson.Decode(text, s)
	return s, positions, findings
}

// resolvePaths joins relative paths to folder.
func (s *Settings) resolvePaths(folder string) {
	paths := []*string{&s.SecretFile, &s.Control.DataFolder, &s.TLS.CertFile, &s.TLS.KeyFile, &s.TLS.CAFile}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}

// ReadSecretFile reads a shared secret. It returns an error if the file cannot
// be read or the secret has fewer than MinSecretLength characters. Surrounding
// white space is ignored, because editors end files with a line break.
func ReadSecretFile(path string) (Secret, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Secret{}, Error.New("cannot read secret file: %w", err)
	}
	value := strings.TrimSpace(string(text))
	if len([]rune(value)) < MinSecretLength {
		return Secret{}, Error.New("secret file %s contains fewer than %d characters", path, MinSecretLength)
	}
	return NewSecret(value), nil
}
