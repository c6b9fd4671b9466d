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

// Validator collects findings about a decoded text.
type Validator struct {
	positions *strictjson.Positions
	findings  []strictjson.Finding
	// broken holds paths that already have a finding. A wrong type must not
	// lead to a second finding that the value is missing.
	broken map[string]bool
}

// NewChecks begins with the findings of the decoder.
func NewChecks(positions *strictjson.Positions, found []strictjson.Finding) *Validator {
	c := &Validator{positions: positions, findings: slices.Clone(found), broken: map[string]bool{}}
	for _, f := range found {
		c.broken[f.Path] = true
	}
	return c
}

// Findings returns all findings so far.
func (v *Validator) Findings() []strictjson.Finding { return v.findings }

// Report adds a finding, unless the value or one around it has one already.
func (v *Validator) Report(path, format string, args ...any) {
	for p := path; p != ""; p = p[:max(strings.LastIndexAny(p, ".["), 0)] {
		if v.broken[p] {
			return
		}
	}
	v.findings = append(v.findings, v.positions.At(path, fmt.Sprintf(format, args...)))
}

// Name reports a name that the cluster cannot use.
func (v *Validator) Name(path, name string) {
	if fault := config.CheckName(name); fault != "" {
		v.Report(path, "%s", fault)
	}
}

// Level reports an unknown log level.
func (v *Validator) Level(path, level string) {
	levels := []string{"trace", "debug", "info", "warn", "error"}
	if !slices.Contains(levels, level) {
		v.Report(path, "must be one of %s", strings.Join(levels, ", "))
	}
}

// Folder reports a folder that the process could not use.
func (v *Validator) Folder(path, folder string) {
	info, err := os.Stat(folder)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		v.Report(path, "%s does not exist; create it before the first start", folder)
	case err != nil:
		v.Report(path, "cannot be reached: %s", reason(err))
	case !info.IsDir():
		v.Report(path, "%s is not a folder", folder)
	default:
		// Read, write and search permission, as in access(2).
		const readWriteSearch = 4 | 2 | 1
		if err := syscall.Access(folder, readWriteSearch); err != nil {
			v.Report(path, "%s cannot be written: %s", folder, err)
		}
	}
}
