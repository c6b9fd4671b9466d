package logging

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// jsonLines makes lines of package log valid JSON: it does not escape most control characters
// in strings, nor bytes that are not UTF-8. All readers skip a line that is not JSON.
type jsonLines struct{ out io.Writer }

// Write writes one line, which ends with a line feed.
func (w jsonLines) Write(line []byte) (int, error) {
	if isClean(line) {
		return w.out.Write(line)
	}
	text, end := strings.CutSuffix(string(line), "\n")
	fixed := escape(text, func(r rune) bool { return r < ' ' }, jsonEscape)
	if end {
		fixed += "\n"
	}
	if _, err := io.WriteString(w.out, fixed); err != nil {
		return 0, err
	}
	return len(line), nil
}

// jsonEscape escapes a control character within a JSON string. A byte that is not UTF-8 gets
// the characters of its escape in Go.
func jsonEscape(char string) string {
	if r, _ := utf8.DecodeRuneInString(char); r != utf8.RuneError {
		return fmt.Sprintf(`\u%04x`, r)
	}
	return `\` + goEscape(char)
}

// isClean reports whether a line is valid JSON as far as its characters go.
func isClean(line []byte) bool {
	for i, c := range line {
		if c < ' ' && !(c == '\n' && i == len(line)-1) {
			return false
		}
	}
	return utf8.Valid(line)
}
