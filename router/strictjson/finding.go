// Package strictjson decodes JSON with comments into typed values. It reports
// all errors of a text at once, each with its position.
package strictjson

import "fmt"

// Finding is one error in a text.
type Finding struct {
	// Line and Column count from 1. Column counts characters, not bytes.
	// Both are 0 if the position is not known.
	Line, Column int
	// Path is the path of the value, for example services[1].rules[0]. It is
	// empty for the whole text.
	Path string
	Text string
}

// String returns line:column: path: text.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Text)
}
