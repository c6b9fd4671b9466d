package strictresponse

import (
	"bytes"
	"net/http"
)

// position is where in a response the next byte belongs.
type position int

const (
	// atRequest is before the first request and after the response to one.
	atRequest position = iota
	atStatusLine
	atField
	atBody
	atBodyUntilClose
	atChunkSize
	atChunkData
	atChunkEnd
	atTrailer
)

// maxLineBytes bounds a line, which is held in memory until its end. Readers bound whole
// heads and trailers themselves.
const maxLineBytes = 64 << 10

// parser follows the bytes of responses and checks their lines. It must find the end of each
// response as net/http does, which the checks make unambiguous.
type parser struct {
	responses Responses
	// method is that of the request.
	method string
	at     position
	// line is the received part of an unfinished line.
	line []byte
	head head
	// remaining is the number of bytes that are left of the body or chunk.
	remaining uint64
}

// begin expects the response to a request.
func (p *parser) begin(method string) error {
	p.method = method
	if p.at == atRequest {
		p.expectHead()
	}
	if p.at != atStatusLine || len(p.line) > 0 {
		return &FormatError{Reason: "a request was sent before the end of the response to the last one"}
	}
	return nil
}

func (p *parser) expectHead() { p.at, p.head = atStatusLine, head{} }

// endsWithConn reports whether the end of the connection is the end of the response.
func (p *parser) endsWithConn() bool { return p.at == atBodyUntilClose }

// consume checks the next bytes. It returns how many of them may be passed on: all, or
// without the end of the first malformed line and what follows it.
func (p *parser) consume(data []byte) (int, error) {
	n := 0
	for n < len(data) {
		switch p.at {
		case atRequest:
			return n, &FormatError{Reason: "bytes that answer no request"}
		case atBodyUntilClose:
			return len(data), nil
		case atBody, atChunkData:
			taken := min(p.remaining, uint64(len(data)-n))
			n += int(taken)
			p.remaining -= taken
			if p.remaining == 0 {
				p.endData()
			}
		default:
			taken, err := p.consumeLine(data[n:])
			n += taken
			if err != nil {
				return n, err
			}
		}
	}
	return n, nil
}

// consumeLine checks the line at the begin of data, if its end has been received. With an
// error it returns the number of bytes before the end of the line.
func (p *parser) consumeLine(data []byte) (int, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		if len(p.line)+len(data) > maxLineBytes {
			return 0, &FormatError{Reason: "a line is too long"}
		}
		p.line = append(p.line, data...)
		return len(data), nil
	}
	line := data[:end]
	if len(p.line) > 0 {
		line = append(p.line, line...)
		p.line = nil
	}
	if err := p.checkLine(line); err != nil {
		return end, err
	}
	return end + 1, nil
}

// checkLine checks a line, which comes without its line feed, and moves to the position
// behind it.
func (p *parser) checkLine(line []byte) error {
	text, hasCR := bytes.CutSuffix(line, []byte("\r"))
	if bytes.IndexByte(text, '\r') >= 0 {
		return &FormatError{Reason: "there is a carriage return within a line"}
	}
	switch p.at {
	case atStatusLine:
		p.at = atField
		return p.head.parseStatusLine(text)
	case atField:
		if len(text) == 0 {
			return p.endHead()
		}
		return p.head.parseField(text)
	case atTrailer:
		if len(text) == 0 {
			p.endResponse()
			return nil
		}
		_, _, err := parseFieldLine(text)
		return err
	}
	// A line feed alone may end the lines of a head, but not those between chunks.
	if !hasCR {
		return &FormatError{Reason: "a line of the chunked coding has no carriage return"}
	}
	return p.checkChunkLine(text)
}

// checkChunkLine checks the line before a chunk, or the empty one behind it.
func (p *parser) checkChunkLine(text []byte) error {
	if p.at == atChunkEnd {
		p.at = atChunkSize
		if len(text) > 0 {
			return &FormatError{Reason: "a chunk is longer than its size"}
		}
		return nil
	}
	size, err := parseChunkSize(text)
	if err != nil {
		return err
	}
	p.remaining, p.at = size, atChunkData
	if size == 0 {
		p.at = atTrailer
	}
	return nil
}

// endData moves behind the last byte of a body or chunk.
func (p *parser) endData() {
	if p.at == atChunkData {
		p.at = atChunkEnd
		return
	}
	p.endResponse()
}

// endHead moves behind the empty line after the fields.
func (p *parser) endHead() error {
	h := &p.head
	if h.status < http.StatusOK {
		p.expectHead() // an informational response, which another one follows
		return nil
	}
	if err := h.checkFraming(); err != nil {
		return err
	}
	switch {
	case p.method == http.MethodHead, h.status == http.StatusNoContent, h.status == http.StatusNotModified, !h.chunked && h.hasLength && h.length == 0:
		p.endResponse()
	case h.chunked:
		p.at = atChunkSize
	case h.hasLength:
		p.at, p.remaining = atBody, h.length
	default:
		p.at = atBodyUntilClose
	}
	return nil
}

func (p *parser) endResponse() {
	p.at = atRequest
	if p.responses == Several {
		p.expectHead()
	}
}
