package settings

import (
	"fmt"
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
}

// String returns file:line:column: path: text.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Text)
}

// FromText adds the file name and sorts the findings by position.
func FromText(file string, found []strictjson.Finding) []Finding {
	out := make([]Finding, 0, len(found))
	for _, f := range found {
		out = append(out, Finding{File: file, Line: f.Line, Column: f.Column, Path: f.Path, Text: f.Text})
	}
	slices.SortStableFunc(out, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return out
}
