package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
	"syscall"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/strictjson"
)

// Validator checks values of a decoded text and collects the findings.
type Validator struct {
	positions *strictjson.Positions
	findings  []strictjson.Finding
	// reported has the paths with a finding of the decoder. A value of the wrong
	// type must not be reported as missing too.
	reported map[string]bool
}

// NewValidator returns a validator that starts with the decoder's findings.
func NewValidator(positions *strictjson.Positions, findings []strictjson.Finding) *Validator {
	v := &Validator{positions: positions, findings: slices.Clone(findings), reported: map[string]bool{}}
	for _, f := range findings {
		v.reported[f.Path] = true
	}
	return v
}

// Findings returns all findings so far.
func (v *Validator) Findings() []strictjson.Finding { return v.findings }

// Report adds a finding, unless the decoder has one for the value at path or for
// a value that encloses it.
func (v *Validator) Report(path, format string, args ...any) {
	for p := path; p != ""; p = p[:max(strings.LastIndexAny(p, ".["), 0)] {
		if v.reported[p] {
			return
		}
	}
	v.findings = append(v.findings, v.positions.At(path, fmt.Sprintf(format, args...)))
}

// CheckName reports a name that config.CheckName does not accept.
func (v *Validator) CheckName(path, name string) {
	if problem := config.CheckName(name); problem != "" {
		v.Report(path, "%s", problem)
	}
}

// CheckLogLevel reports an unknown log level.
func (v *Validator) CheckLogLevel(path, level string) {
	levels := []string{"trace", "debug", "info", "warn", "error"}
	if !slices.Contains(levels, level) {
		v.Report(path, "must be one of %s", strings.Join(levels, ", "))
	}
}

// CheckFolder reports a folder that does not exist or that the process cannot
// read, write and search.
func (v *Validator) CheckFolder(path, folder string) {
	info, err := os.Stat(folder)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		v.Report(path, "%s does not exist; create it before the first start", folder)
	case err != nil:
		v.Report(path, "cannot be reached: %s", messageOf(err))
	case !info.IsDir():
		v.Report(path, "%s is not a folder", folder)
	default:
		// Read, write and search permission, as in access(2).
		const readWriteSearch = 4 | 2 | 1
		if err := syscall.Access(folder, readWriteSearch); err != nil {
			v.Report(path, "%s cannot be read, written and searched: %s", folder, err)
		}
	}
}
