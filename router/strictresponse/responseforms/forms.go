// Package responseforms lists responses of HTTP/1.1 servers, valid and malformed ones, and
// serves raw bytes, for the tests of everything that reads responses.
package responseforms

// Part says which part of a response a malformed form concerns.
type Part string

// The parts of a response, in their order on the connection.
const (
	StatusLine Part = "status line"
	Fields     Part = "field lines"
	Framing    Part = "framing"
	Chunks     Part = "chunks"
	Trailers   Part = "trailers"
)

// Form is a response to a GET or POST request.
type Form struct {
	Name string
	Part Part
	// Text is sent on the connection, which stays open.
	Text string
}

// InHead reports whether the head alone shows that the response is malformed.
func (f *Form) InHead() bool { return f.Part != Chunks && f.Part != Trailers }

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	body    = "\r\nhello"
	chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	length  = "Content-Length: 5\r\n"
)

// Malformed lists responses that violate RFC 9110 or RFC 9112 in a way that recipients are
// not told to accept. Sections are those of RFC 9112.
func Malformed() []Form {
	var forms []Form
	add := func(part Part, named map[string]string) {
		for name, text := range named {
			forms = append(forms, Form{Name: name, Part: part, Text: text})
		}
	}
	line := func(text string) string { return text + "\r\n" + length + body }
	add(StatusLine, map[string]string{ // section 4
		"status 000":                line("HTTP/1.1 000 None"),
		"status 099":                line("HTTP/1.1 099 Odd"),
		"status +20":                line("HTTP/1.1 +20 Odd"),
		"status -00":                line("HTTP/1.1 -00 Odd"),
		"status of two digits":      line("HTTP/1.1 20 OK"),
		"status of four digits":     line("HTTP/1.1 2000 OK"),
		"status that is no number":  line("HTTP/1.1 2x0 OK"),
		"no status":                 line("HTTP/1.1"),
		"no blank before status":    line("HTTP/1.1200 OK"),
		"version 2.0":               line("HTTP/2.0 200 OK"),
		"version 0.9":               line("HTTP/0.9 200 OK"),
		"version without minor":     line("HTTP/1 200 OK"),
		"version of two digits":     line("HTTP/1.10 200 OK"),
		"version in lower case":     line("http/1.1 200 OK"),
		"another protocol":          line("ICY 200 OK"),
		"NUL in the reason":         line("HTTP/1.1 200 O\x00K"),
		"bare CR in the reason":     line("HTTP/1.1 200 O\rK"),
		"empty line before":         "\r\n" + line("HTTP/1.1 200 OK"),
		"blank before":              line(" HTTP/1.1 200 OK"),
		"switch that was not asked": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + line("HTTP/1.1 200 OK"),
	})
	field := func(text string) string { return ok + length + text + "\r\n" + body }
	add(Fields, map[string]string{ // section 5
		"blank in a name":                  field("X Y: 1"),
		"blank behind a name":              field("X-Y : 1"),
		"tab behind a name":                field("X-Y\t: 1"),
		"blank behind Content-Length":      ok + "Content-Length : 5\r\n" + body,
		"control byte in a name":           field("X\x01Y: 1"),
		"NUL in a name":                    field("X\x00Y: 1"),
		"bare CR in a name":                field("X\rY: 1"),
		"DEL in a name":                    field("X\x7fY: 1"),
		"separator in a name":              field("X(Y): 1"),
		"byte over 127 in a name":          field("X\xe9: 1"),
		"empty name":                       field(": 1"),
		"no colon":                         field("X-Y"),
		"NUL in a value":                   field("X-Y: a\x00b"),
		"control byte in a value":          field("X-Y: a\x01b"),
		"DEL in a value":                   field("X-Y: a\x7fb"),
		"bare CR in a value":               field("X-Y: a\rb"),
		"folded line, blank":               field("X-Y: a\r\n b"),
		"folded line, tab":                 field("X-Y: a\r\n\tb"),
		"folded Content-Length":            ok + "X-Y: a\r\n Content-Length: 5\r\n" + body,
		"folded value of a Content-Length": ok + "Content-Length:\r\n 5\r\n" + body,
		"folded first line":                ok + " X-Y: a\r\n" + length + body,
		"line of blanks":                   field("X-Y: a\r\n  "),
		"malformed line in early hints":    "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n" + ok + length + body,
	})
	framed := func(text string) string { return ok + text + "\r\n" + body }
	add(Framing, map[string]string{ // section 6
		"empty length":                framed("Content-Length:"),
		"negative length":             framed("Content-Length: -5"),
		"length with a sign":          framed("Content-Length: +5"),
		"hexadecimal length":          framed("Content-Length: 0x5"),
		"length with a blank":         framed("Content-Length: 5 5"),
		"list of lengths":             framed("Content-Length: 5, 6"),
		"two lengths":                 framed("Content-Length: 5\r\nContent-Length: 6"),
		"length over 64 bits":         framed("Content-Length: 18446744073709551621"),
		"length and coding":           ok + length + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"coding and length":           ok + "Transfer-Encoding: chunked\r\n" + length + "\r\n5\r\nhello\r\n0\r\n\r\n",
		"coding in HTTP/1.0":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"coding and length, HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + body,
		"unknown coding":              framed("Transfer-Encoding: xchunked"),
		"empty coding":                framed("Transfer-Encoding:"),
		"coding behind chunked":       framed("Transfer-Encoding: chunked, gzip"),
		"chunked twice":               framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
		"chunked twice in a list":     framed("Transfer-Encoding: chunked, chunked"),
		"coding that is not read":     framed("Transfer-Encoding: gzip, chunked"),
		"blank behind the coding":     ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	})
	add(Chunks, map[string]string{ // section 7.1
		"size that is no number":  chunked + "zz\r\nhello\r\n0\r\n\r\n",
		"no size":                 chunked + "\r\nhello\r\n0\r\n\r\n",
		"size with a sign":        chunked + "+5\r\nhello\r\n0\r\n\r\n",
		"negative size":           chunked + "-5\r\nhello\r\n0\r\n\r\n",
		"size with a prefix":      chunked + "0x5\r\nhello\r\n0\r\n\r\n",
		"blank before a size":     chunked + " 5\r\nhello\r\n0\r\n\r\n",
		"size over 64 bits":       chunked + "10000000000000005\r\nhello\r\n0\r\n\r\n",
		"no line end behind data": chunked + "5\r\nhello0\r\n\r\n",
		"data longer than size":   chunked + "5\r\nhello, world\r\n0\r\n\r\n",
		"bare LF behind a size":   chunked + "5\nhello\r\n0\r\n\r\n",
		"bare LF behind data":     chunked + "5\r\nhello\n0\r\n\r\n",
		"bare CR in an extension": chunked + "5;a\rb\r\nhello\r\n0\r\n\r\n",
		"bare CR behind data":     chunked + "5\r\nhello\r0\r\n\r\n",
	})
	trailer := func(text string) string { return chunked + "5\r\nhello\r\n0\r\n" + text + "\r\n\r\n" }
	add(Trailers, map[string]string{ // section 7.1.2
		"blank in a name of a trailer":     trailer("X Y: 1"),
		"blank behind a name of a trailer": trailer("X-Y : 1"),
		"trailer without colon":            trailer("X-Y"),
		"control byte in a trailer":        trailer("X-Y: a\x01b"),
		"folded trailer":                   trailer("X-Y: a\r\n b"),
		"folded first trailer":             trailer(" X-Y: a"),
	})
	return forms
}

// Valid lists responses that must be accepted, and have the body "hello" unless they have
// none. Some are forms that RFC 9112 allows recipients to accept.
func Valid() []Form {
	return []Form{
		{Name: "length", Text: ok + length + body},
		{Name: "chunks", Text: chunked + "2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{Name: "chunk size with zeros and a blank", Text: chunked + "0005 \r\nhello\r\n0\r\n\r\n"},
		{Name: "coding in capitals", Text: ok + "TRANSFER-ENCODING: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{Name: "length twice", Text: ok + length + length + body},
		{Name: "blanks around a value", Text: ok + "X-Y: \t a \t\r\nContent-Length:\t5 \r\n" + body},
		{Name: "no blank before a value", Text: ok + "Content-Length:5\r\n" + body},
		{Name: "empty value", Text: ok + "X-Y:\r\n" + length + body},
		{Name: "bytes over 127 in a value and the reason", Text: "HTTP/1.1 200 \xfc\r\nX-Y: \xe9\r\n" + length + body},
		{Name: "empty reason", Text: "HTTP/1.1 200 \r\n" + length + body},
		{Name: "no reason", Text: "HTTP/1.1 200\r\n" + length + body},
		{Name: "two blanks before the status", Text: "HTTP/1.1  200 OK\r\n" + length + body},
		{Name: "bare LF in the head", Text: "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello"},
		{Name: "early hints and continue before", Text: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + length + body},
		{Name: "HTTP/1.0", Text: "HTTP/1.0 200 OK\r\n" + length + body},
		{Name: "later minor version", Text: "HTTP/1.9 200 OK\r\n" + length + body},
		{Name: "status outside of all classes", Text: "HTTP/1.1 799 Odd\r\n" + length + body},
		{Name: "204 without a body", Text: "HTTP/1.1 204 No Content\r\n\r\n"},
		{Name: "304 with the length of another body", Text: "HTTP/1.1 304 Not Modified\r\nContent-Length: 900\r\n\r\n"},
	}
}
