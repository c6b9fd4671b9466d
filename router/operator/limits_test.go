package operator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/operator/controlfake"
)

// panickingControl is a control plane whose Status panics.
type panickingControl struct{ *controlfake.Control }

func (panickingControl) Status(context.Context) (operator.Status, error) { panic("broken") }

// Guards against a panic in one request that ends the process, and against routes
// that accept other methods.
func TestHandlerRecoversFromPanics(t *testing.T) {
	is := is.New(t)
	server, logged := startServer(t, panickingControl{controlfake.New(document)})
	status, body := send(t, "GET", server.URL+"/api/v1/status", operator.Token(secret), "", "")
	is.Equal(status, http.StatusInternalServerError)
	is.True(strings.Contains(body, `"code":"internal"`) && !strings.Contains(body, "broken"))
	is.True(strings.Contains(logged.String(), "broken"))
	status, _ = send(t, "GET", server.URL+"/api/v1/apply", operator.Token(secret), "", "")
	is.Equal(status, http.StatusNotFound)
	status, _ = send(t, "GET", server.URL+"/api/v1/history", operator.Token(secret), "", "")
	is.Equal(status, http.StatusOK)
}

// Guards against clients that occupy memory with large headers, and against a server
// without timeouts for slow requests.
func TestServerLimitsHeaders(t *testing.T) {
	is := is.New(t)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	server := operator.NewServer(operator.Handler(controlfake.New(""), operator.Auth{Secret: secret}, logger))
	is.True(server.ReadHeaderTimeout > 0 && server.ReadHeaderTimeout <= 10*time.Second)
	is.True(server.ReadTimeout > 0 && server.WriteTimeout > 0 && server.IdleTimeout > 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	r, err := http.NewRequest("GET", "http://"+listener.Addr().String()+"/console/login", nil)
	is.NoErr(err)
	r.Header.Set("X-Large", strings.Repeat("x", 64<<10))
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against forms that another site submits in the operator's browser
// (cross-site request forgery).
func TestConsoleRefusesOtherOrigins(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	server, _ := startServer(t, control)
	b := newBrowser(t, server)
	b.login()
	b.get("/console/drain?scope=dataCentre&name=m1&on=true")
	values := b.fields("/console/drain")
	for header, value := range map[string]string{"Sec-Fetch-Site": "cross-site", "Origin": "http://elsewhere.example"} {
		r := httptest.NewRequest("POST", server.URL+"/console/drain", strings.NewReader(values.Encode()))
		r.RequestURI = ""
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		r.Header.Set(header, value)
		b.read(b.client.Do(r))
		is.Equal(b.status, http.StatusForbidden)
	}
	is.Equal(len(control.Actions()), 0)
	b.post("/console/drain", values) // the same form from its own page
	is.Equal(len(control.Actions()), 1)
}
