package strictresponse

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/strictresponse/responseforms"
)

// accepted passes a text to a parser in parts of the given size and returns how much of it
// was accepted, and the error.
func accepted(responses Responses, method, text string, part int) (int, error) {
	p := &parser{responses: responses}
	if err := p.begin(method); err != nil {
		return 0, err
	}
	n := 0
	for n < len(text) {
		taken, err := p.consume([]byte(text[n:min(n+part, len(text))]))
		n += taken
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Guards against a verdict that depends on how the network divides a response, and against
// an end of a line that is passed on before the line was checked.
func TestDividedResponses(t *testing.T) {
	for _, form := range responseforms.Malformed() {
		is := is.New(t)
		whole, wholeErr := accepted(One, "GET", form.Text, len(form.Text))
		is.True(wholeErr != nil)
		is.True(form.Text[whole] == '\n')
		for part := 1; part < len(form.Text); part++ {
			n, err := accepted(One, "GET", form.Text, part)
			is.Equal(n, whole)
			is.Equal(err, wholeErr)
		}
	}
	for _, form := range responseforms.Valid() {
		for part := 1; part <= len(form.Text); part++ {
			if n, err := accepted(One, "GET", form.Text, part); err != nil || n != len(form.Text) {
				t.Errorf("%s in parts of %d bytes: refused after %d bytes: %v", form.Name, part, n, err)
			}
		}
	}
}

// Guards against bytes behind a response that are taken for the response to the next
// request, and against the refusal of late responses where they are allowed.
func TestBytesBehindResponse(t *testing.T) {
	for _, c := range []struct{ method, response string }{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"GET", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"},
	} {
		is := is.New(t)
		n, err := accepted(One, c.method, c.response+c.response, 1000)
		is.Equal(n, len(c.response))
		is.True(err != nil)
		n, err = accepted(Several, c.method, c.response+c.response, 1000)
		is.Equal(n, 2*len(c.response))
		is.NoErr(err)
	}
}

// Guards against a line without end that takes memory without end.
func TestLineWithoutEnd(t *testing.T) {
	is := is.New(t)
	p := &parser{}
	is.NoErr(p.begin("GET"))
	part, total := []byte(strings.Repeat("x", 4096)), 0
	for {
		n, err := p.consume(part)
		total += n
		is.True(len(p.line) <= maxLineBytes)
		if err != nil {
			break
		}
	}
	is.Equal(total, maxLineBytes)
}

// Guards against a request on a connection on which the response to the last one has not
// ended.
func TestRequestBeforeEndOfResponse(t *testing.T) {
	is := is.New(t)
	for _, part := range []string{"H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"} {
		p := &parser{}
		is.NoErr(p.begin("GET"))
		is.NoErr(p.begin("GET")) // nothing was received
		_, err := p.consume([]byte(part))
		is.NoErr(err)
		is.True(p.begin("GET") != nil)
	}
}
