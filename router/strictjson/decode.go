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
	// MaxBytes is the size of the largest text that Decode reads, in bytes.
	// The largest expected document, with some hundreds of services and
	// their rules, is far smaller.
	MaxBytes = 1 << 20
	// maxDepth bounds nesting, because the parser recurses. The deepest
	// document has six levels.
	maxDepth = 64
	// maxFindings bounds the work on a text that is not meant for this type.
	maxFindings = 100
	// maxNameBytes bounds the name of an unknown field in a finding.
	maxNameBytes = 64
)

// Decode decodes text into out, which must be a pointer to a struct. Its
// exported fields with json tags may be structs, slices, strings, booleans,
// integers, floating-point numbers, StringSetters and pointers to these; other
// types are not supported. Fields that the text does not give keep their
// values, so that the caller can set defaults. The returned positions are never
// nil; Has("") is false if the text cannot be parsed. Such a text gives one
// finding; any other text gives up to maxFindings findings, and out then
// contains the values that could be decoded.
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

// checkText checks the size, the encoding and the nesting depth of the text.
// The parser checks neither size nor depth. It checks the encoding in comments
// only: it accepts strings with invalid UTF-8 and decodes them to another
// value.
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
	if offset, found := loneSurrogate(p.text); found {
		line, column := p.lineColumn(offset)
		return &Finding{Line: line, Column: column, Text: "escape of half a character: a surrogate without the other one"}
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

// skipString returns the offset of the quote that ends the string at i, or an
// offset beyond the text if none does.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i, or i if
// there is no comment.
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
	length := bytes.Index(rest[2:], []byte(end))
	if length < 0 {
		return len(text)
	}
	return i + 2 + length + len(end) - 1
}

var syntaxError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxFinding converts a parser error into a finding. It leaves out a literal
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
	return Finding{Line: line, Column: p.characterColumn(line, column), Text: text}
}

// characterColumn converts a column in bytes to one in characters. Both count
// from 1.
func (p *Positions) characterColumn(line, column int) int {
	lines := bytes.SplitN(p.text, []byte("\n"), line+1)
	if line < 1 || line > len(lines) {
		return column
	}
	l := lines[line-1]
	return 1 + utf8.RuneCount(l[:min(max(column-1, 0), len(l))])
}
