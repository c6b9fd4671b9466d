package strictresponse

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/net/http/httpguts"

	"bramleyquay.example/router/strictresponse/responseforms"
)

// bytesConn is a connection on which some bytes arrive and then its end.
type bytesConn struct {
	net.Conn // nil: nothing but Read is called
	in       io.Reader
}

// Read implements net.Conn.
func (c *bytesConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// readResponse parses the final response to a request as httpclient does.
func readResponse(in io.Reader, method string) (*http.Response, []byte, error) {
	br := bufio.NewReader(in)
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
}

// FuzzConn looks for bytes of which a checked connection finds another end than net/http
// does, and for malformed heads that it accepts.
func FuzzConn(f *testing.F) {
	for _, form := range append(responseforms.Malformed(), responseforms.Valid()...) {
		f.Add([]byte(form.Text), false)
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, text []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		c := NewConn(&bytesConn{in: bytes.NewReader(text)}, One)
		c.Begin(method)
		resp, body, err := readResponse(c, method)
		if err != nil {
			return
		}
		if at := c.parser.at; at != atRequest && at != atBodyUntilClose {
			t.Fatalf("net/http is at the end of the response, the parser is at position %d", at)
		}
		plain, plainBody, err := readResponse(bytes.NewReader(text), method)
		if err != nil || plain.StatusCode != resp.StatusCode || !bytes.Equal(body, plainBody) {
			t.Fatalf("status %d, body %q; unchecked: %v, %q, %v", resp.StatusCode, body, plain, plainBody, err)
		}
		if resp.StatusCode < 200 || resp.StatusCode > 999 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		for name, values := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("field name %q", name)
			}
			for _, v := range values {
				if !httpguts.ValidHeaderFieldValue(v) {
					t.Fatalf("field value %q", v)
				}
			}
		}
	})
}
