package settings

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"bramleyquay.example/router/strictjson"
)

// Finding is one fault in a file.
type Finding struct {
	File string `json:"file"`
	// Line and Column count from 1, Column in characters.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Text   string `json:"text"`
	// Warning marks a finding that does not keep the file from being used.
	Warning bool `json:"warning,omitempty"`
}

// String returns file:line:column: path: text. The text of a warning says so.
func (f Finding) String() string {
	text := f.Text
	if f.Warning {
		text = "warning: " + text
	}
	if f.Path != "" {
		text = f.Path + ": " + text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, text)
}

// HasErrors reports whether a finding is more than a warning.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return !f.Warning })
}

// PrintFindings writes what loading settings found, for people, and reports whether the
// process may run with them.
func PrintFindings(out io.Writer, findings []Finding, err error) bool {
	for _, f := range findings {
		_, _ = fmt.Fprintln(out, f.String()) // the exit code tells as well
	}
	if err != nil {
		_, _ = fmt.Fprintln(out, "bramleyquay:", err) // the exit code tells as well
	}
	return err == nil && !HasErrors(findings)
}

// Sort orders findings by position.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// FindingsInFile adds the file name and sorts the findings by position.
func FindingsInFile(file string, found []strictjson.Finding) []Finding {
	out := make([]Finding, 0, len(found))
	for _, f := range found {
		out = append(out, Finding{File: file, Line: f.Line, Column: f.Column, Path: f.Path, Text: f.Text})
	}
	Sort(out)
	return out
}
