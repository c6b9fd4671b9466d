package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/strictresponse/responseforms"
)

// Guards against a malformed answer that counts as the confirmation of a change.
func TestMalformedAnswers(t *testing.T) {
	for _, form := range responseforms.Malformed() {
		t.Run(string(form.Part)+"/"+form.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := responseforms.Serve(t, func(conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, strings.ReplaceAll(form.Text, "hello", "{   }"))
				}
			})
			_, err := call(t, address)
			is.Equal(code(err), operator.CodeUnknown)
		})
	}
}
