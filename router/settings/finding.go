package settings

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"bramleyquay.example/router/strictjson"
)

// Finding is one error or warning about a file.
type Finding struct {
	File string `json:"file"`
	// Line and Column count from 1, Column in characters.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Text   string `json:"text"`
	// Warning marks a finding with which the file can still be used.
	Warning bool `json:"warning,omitempty"`
}

// String returns file:line:column: path: text. The text of a warning begins with
// "warning: ".
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

// HasErrors reports whether any finding is not a warning.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return !f.Warning })
}

// PrintFindings writes the findings and the error of loading settings to out,
// one a line, and reports whether the process may run with the settings.
func PrintFindings(out io.Writer, findings []Finding, err error) bool {
	for _, f := range findings {
		_, _ = fmt.Fprintln(out, f.String()) // the exit code also reports the failure
	}
	if err != nil {
		_, _ = fmt.Fprintln(out, "bramleyquay:", err) // the exit code also reports the failure
	}
	return err == nil && !HasErrors(findings)
}

// Sort orders findings by position.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// FindingsInFile returns the findings of a decoder as findings in file, ordered
// by position.
func FindingsInFile(file string, findings []strictjson.Finding) []Finding {
	out := make([]Finding, 0, len(findings))
	for _, f := range findings {
		out = append(out, Finding{File: file, Line: f.Line, Column: f.Column, Path: f.Path, Text: f.Text})
	}
	Sort(out)
	return out
}
