package document

import (
	"fmt"
	"strings"
)

const (
	// contextLines is the number of equal lines shown before and after a change.
	contextLines = 3
	// maxCells bounds the table of the line comparison: 16 Mi cells of 4
	// bytes each, enough for 4,000 lines from the first to the last change
	// on both sides. A larger change is shown as one block of removed and
	// added lines.
	maxCells = 16 << 20
)

// line is one line of a difference. Mark is ' ', '-' or '+'.
type line struct {
	mark byte
	text string
}

// Diff returns the difference of two texts by line. Removed lines start with
// "-", added ones with "+". It returns the empty string for equal texts.
func Diff(before, after []byte) string {
	if string(before) == string(after) {
		return ""
	}
	return render(diffLines(splitLines(before), splitLines(after)))
}

// Compare returns the difference of two documents in canonical form, which
// leaves out layout, comments and values that cannot be decoded. A text that
// cannot be parsed is compared as it is.
func Compare(before, after string) string {
	return Diff(canonicalText(before), canonicalText(after))
}

func canonicalText(text string) []byte {
	if d, _ := Parse("", []byte(text)); d != nil {
		return Canonical(d)
	}
	return []byte(text)
}

func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// diffLines returns the difference of two lists of lines. It leaves common lines
// at the start and at the end out of the comparison by diffLCS.
func diffLines(a, b []string) []line {
	var head, tail []line
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		head = append(head, line{' ', a[0]})
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		tail = append(tail, line{' ', a[len(a)-1]})
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	lines := append(head, diffLCS(a, b)...)
	for i := len(tail) - 1; i >= 0; i-- {
		lines = append(lines, tail[i])
	}
	return lines
}

// diffLCS returns the difference by the longest common subsequence of lines.
func diffLCS(a, b []string) []line {
	width := len(b) + 1
	if (len(a)+1)*width > maxCells {
		return append(withMark('-', a), withMark('+', b)...)
	}
	common := make([]int32, (len(a)+1)*width)
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i*width+j] = common[(i+1)*width+j+1] + 1
			} else {
				common[i*width+j] = max(common[(i+1)*width+j], common[i*width+j+1])
			}
		}
	}
	var lines []line
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			lines = append(lines, line{' ', a[i]})
			i, j = i+1, j+1
		case common[(i+1)*width+j] >= common[i*width+j+1]:
			lines = append(lines, line{'-', a[i]})
			i++
		default:
			lines = append(lines, line{'+', b[j]})
			j++
		}
	}
	return append(append(lines, withMark('-', a[i:])...), withMark('+', b[j:])...)
}

func withMark(mark byte, texts []string) []line {
	lines := make([]line, 0, len(texts))
	for _, text := range texts {
		lines = append(lines, line{mark, text})
	}
	return lines
}

// render formats a difference without the equal lines that are more than
// contextLines away from a change.
func render(lines []line) string {
	shown := make([]bool, len(lines))
	for i, l := range lines {
		if l.mark == ' ' {
			continue
		}
		for k := max(0, i-contextLines); k <= min(len(lines)-1, i+contextLines); k++ {
			shown[k] = true
		}
	}
	var out strings.Builder
	skipped := 0
	for i, l := range lines {
		if !shown[i] {
			skipped++
			continue
		}
		if skipped > 0 {
			fmt.Fprintf(&out, "@ %d equal lines\n", skipped)
			skipped = 0
		}
		out.WriteByte(l.mark)
		out.WriteString(l.text)
		out.WriteByte('\n')
	}
	return out.String()
}
