package strictjson

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

// Positions has the positions of the values in a decoded text by path.
type Positions struct {
	text    []byte
	offsets map[string]int
}

// Has reports whether the text gives a value at path.
func (p *Positions) Has(path string) bool {
	_, ok := p.offsets[path]
	return ok
}

// Find returns the line and column of path. If the text has no value there, it
// returns the position of the nearest enclosing value.
func (p *Positions) Find(path string) (line, column int) {
	for {
		if offset, ok := p.offsets[path]; ok {
			return p.lineColumn(offset)
		}
		if path == "" {
			return 1, 1
		}
		path = parent(path)
	}
}

// At returns a finding about the value at path, with the position that Find
// returns.
func (p *Positions) At(path, text string) Finding {
	line, column := p.Find(path)
	return Finding{Line: line, Column: column, Path: path, Text: text}
}

// lineColumn returns the line and the column in characters of a byte offset.
func (p *Positions) lineColumn(offset int) (line, column int) {
	before := p.text[:min(offset, len(p.text))]
	line = 1 + bytes.Count(before, []byte("\n"))
	last := before[bytes.LastIndexByte(before, '\n')+1:]
	return line, 1 + utf8.RuneCount(last)
}

func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
