package logging

import (
	"bytes"
	"fmt"
	"io"
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
	text, end := bytes.CutSuffix(line, []byte("\n"))
	var fixed bytes.Buffer
	for len(text) > 0 {
		r, size := utf8.DecodeRune(text)
		switch {
		case r == utf8.RuneError && size == 1:
			fmt.Fprintf(&fixed, `\\x%02x`, text[0])
		case r < ' ':
			fmt.Fprintf(&fixed, `\u%04x`, r)
		default:
			fixed.Write(text[:size])
		}
		text = text[size:]
	}
	if end {
		fixed.WriteByte('\n')
	}
	if _, err := w.out.Write(fixed.Bytes()); err != nil {
		return 0, err
	}
	return len(line), nil
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
