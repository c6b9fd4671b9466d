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
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, strings.ReplaceAll(form.Text, "hello", "{   }"))
					}
					_ = conn.Close()
				}
			}()
			_, err = call(t, l.Addr().String())
			is.Equal(code(err), operator.CodeUnknown)
		})
	}
}
