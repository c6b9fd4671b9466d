package strictjson

import (
	"bytes"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest text that Decode reads. The largest expected
	// document, with some hundred services and their rules, is far below it.
	MaxBytes = 1 << 20
	// maxDepth bounds nesting, because the parser recurses. The deepest
	// document has six levels.
	maxDepth = 64
	// maxFindings bounds the work on a text that is something else entirely.
	maxFindings = 100
	// maxName bounds an unknown field's name in a finding, in bytes.
	maxName = 64
)

// Decode reads text into out, which must be a pointer to a struct. The
// positions are never nil. A text that cannot be parsed yields one finding,
// any other text all of its findings; out then holds what could be read.
func Decode(text []byte, out any) (*Positions, []Finding) {
	d := &decoder{positions: &Positions{text: text, offsets: map[string]int{}}}
	if f := checkText(d.positions); f != nil {
		return d.positions, []Finding{*f}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return d.positions, []Finding{syntaxFinding(d.positions, err)}
	}
	d.value("", &root, reflect.ValueOf(out).Elem())
	return d.positions, d.findings
}

// checkText finds what the parser accepts or cannot bear.
func checkText(p *Positions) *Finding {
	if len(p.text) > MaxBytes {
		return &Finding{Line: 1, Column: 1, Text: "text is larger than " + strconv.Itoa(MaxBytes) + " bytes"}
	}
	if !utf8.Valid(p.text) {
		offset := 0
		for offset < len(p.text) {
			r, size := utf8.DecodeRune(p.text[offset:])
			if r == utf8.RuneError && size == 1 {
				break
			}
			offset += size
		}
		line, column := p.lineColumn(offset)
		return &Finding{Line: line, Column: column, Text: "text is not valid UTF-8"}
	}
	if offset, deep := tooDeep(p.text); deep {
		line, column := p.lineColumn(offset)
		return &Finding{Line: line, Column: column, Text: "values are nested more than " + strconv.Itoa(maxDepth) + " levels deep"}
	}
	return nil
}

// tooDeep returns the offset of the first bracket beyond maxDepth. It skips
// strings and comments.
func tooDeep(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

func skipComment(text []byte, i int) int {
	rest, end := text[i:], ""
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	at := bytes.Index(rest[2:], []byte(end))
	if at < 0 {
		return len(text)
	}
	return i + 2 + at + len(end) - 1
}

var syntaxError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxFinding turns a parser error into a finding. It leaves out a literal
// that the parser quotes, because the literal may be a secret.
func syntaxFinding(p *Positions, err error) Finding {
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		return Finding{Line: 1, Column: 1, Text: "not JSON with comments"}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	text := m[3]
	if strings.HasPrefix(text, "invalid literal") {
		text = "invalid literal: expected a string in double quotes without line breaks, a number, true, false or null"
	}
	return Finding{Line: line, Column: p.characters(line, column), Text: text}
}

// characters converts a column in bytes to one in characters.
func (p *Positions) characters(line, column int) int {
	lines := bytes.SplitN(p.text, []byte("\n"), line+1)
	if line < 1 || line > len(lines) {
		return column
	}
	l := lines[line-1]
	return 1 + utf8.RuneCount(l[:min(max(column-1, 0), len(l))])
}
