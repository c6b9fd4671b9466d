package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/settings"
)

func serve(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func call(t *testing.T, servers ...string) (operator.Result, error) {
	t.Helper()
	c, err := New(Config{Servers: servers, Secret: settings.NewSecret("a secret of the test cluster")})
	if err != nil {
		t.Fatal(err)
	}
	c.attemptTimeout, c.roundPause = 500*time.Millisecond, 10*time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return c.Drain(ctx, operator.DrainRequest{})
}

func code(err error) operator.Code {
	var e *operator.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Guards against a call that fails at a frozen server instead of trying the next
// one.
func TestFrozenServerIsPassedOver(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer frozen.Close()
	defer close(release)
	result, err := call(t, frozen.URL, serve(t, http.StatusOK, `{"text":"done"}`))
	is.NoErr(err)
	is.Equal(result.Text, "done")
}

// Guards against a refusal that hides that an earlier attempt may have been
// accepted: "nothing was changed" would be untrue.
func TestLaterRefusalDoesNotHideUnknownOutcome(t *testing.T) {
	is := is.New(t)
	unknown := serve(t, http.StatusGatewayTimeout, `{"code":"unknown","text":"lost"}`)
	unavailable := serve(t, http.StatusServiceUnavailable, `{"code":"unavailable","text":"no leader"}`)
	_, err := call(t, unknown, unavailable)
	is.Equal(code(err), operator.CodeUnknown)
	_, err = call(t, unknown, serve(t, http.StatusPreconditionFailed, `{"code":"unsafe","text":"no"}`))
	is.Equal(code(err), operator.CodeUnknown)
	_, err = call(t, unavailable)
	is.Equal(code(err), operator.CodeUnavailable)
}

// Guards against a token that is sent to the host of a redirect or to a leader
// with a host name, and against an endless chain of leaders. The token grants
// everything that an operator may do.
func TestTokenStaysWithNumericLeaders(t *testing.T) {
	is := is.New(t)
	requests := 0
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
	defer other.Close()
	redirect := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer redirect.Close()
	_, err := call(t, redirect.URL)
	is.Equal(code(err), operator.CodeUnknown)
	_, err = call(t, serve(t, http.StatusMisdirectedRequest, `{"code":"notLeader","text":"not leader","leader":"stranger.example:1"}`))
	is.Equal(code(err), operator.CodeNotLeader)
	is.Equal(requests, 0)
	var first *httptest.Server
	first = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = w.Write([]byte(`{"code":"notLeader","text":"not leader","leader":"` + first.Listener.Addr().String() + `"}`))
	}))
	defer first.Close()
	_, err = call(t, first.URL)
	is.Equal(code(err), operator.CodeNotLeader)
	is.Equal(requests, rounds*(maxHops+1))
}
