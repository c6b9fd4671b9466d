package strictresponse_test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/router/strictresponse"
)

// Guards against TLS connections that are not checked, that accept any certificate, or that
// are not used again after a valid response.
func TestTransportWithTLS(t *testing.T) {
	is := is.New(t)
	opened := map[string]bool{}
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		opened[r.RemoteAddr] = true
		if r.URL.Path != "/malformed" {
			_, _ = io.WriteString(w, r.URL.Path) // the test reads it
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n")
		_, _ = bufio.NewReader(conn).ReadByte() // until the client closes the connection
		_ = conn.Close()
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	client := &http.Client{Transport: strictresponse.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}})}
	defer client.CloseIdleConnections()
	for range 3 {
		resp, err := client.Get(server.URL + "/valid")
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(text), "/valid")
	}
	is.Equal(len(opened), 1)
	_, err := client.Get(server.URL + "/malformed")
	var malformed *strictresponse.FormatError
	is.True(errors.As(err, &malformed))

	stranger := &http.Client{Transport: strictresponse.NewTransport(&http.Transport{})}
	_, err = stranger.Get(server.URL + "/valid")
	var unknown *tls.CertificateVerificationError
	is.True(errors.As(err, &unknown))
}
