package document

import (
	"fmt"
	"strings"
)

const (
	// context is the number of equal lines shown around a change.
	context = 3
	// maxCells bounds the table of the line comparison. A larger change is
	// shown as one block; canonical documents of a few thousand lines fit.
	maxCells = 16 << 20
)

// line is one line of a difference. Mark is ' ', '-' or '+'.
type line struct {
	mark byte
	text string
}

// Diff compares two texts by line. Removed lines start with "-", added ones
// with "+". It returns the empty string for equal texts.
func Diff(before, after []byte) string {
	if string(before) == string(after) {
		return ""
	}
	return render(compare(split(before), split(after)))
}

// Compare returns the difference of two documents in canonical form, so that
// layout and comments do not count. Texts that are no documents are compared
// as they are.
func Compare(before, after string) string {
	return Diff(canonicalText(before), canonicalText(after))
}

func canonicalText(text string) []byte {
	if d, _ := Parse("", []byte(text)); d != nil {
		return Canonical(d)
	}
	return []byte(text)
}

func split(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

func compare(a, b []string) []line {
	var head, tail []line
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		head = append(head, line{' ', a[0]})
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		tail = append(tail, line{' ', a[len(a)-1]})
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	lines := append(head, middle(a, b)...)
	for i := len(tail) - 1; i >= 0; i-- {
		lines = append(lines, tail[i])
	}
	return lines
}

// middle compares by the longest common subsequence of lines.
func middle(a, b []string) []line {
	width := len(b) + 1
	if (len(a)+1)*width > maxCells {
		return append(marked('-', a), marked('+', b)...)
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
	return append(append(lines, marked('-', a[i:])...), marked('+', b[j:])...)
}

func marked(mark byte, texts []string) []line {
	lines := make([]line, 0, len(texts))
	for _, text := range texts {
		lines = append(lines, line{mark, text})
	}
	return lines
}

// render leaves out equal lines that are far from a change.
func render(lines []line) string {
	near := make([]bool, len(lines))
	for i, l := range lines {
		if l.mark == ' ' {
			continue
		}
		for k := max(0, i-context); k <= min(len(lines)-1, i+context); k++ {
			near[k] = true
		}
	}
	var out strings.Builder
	skipped := 0
	for i, l := range lines {
		if !near[i] {
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
