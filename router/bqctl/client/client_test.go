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
	c.attempt, c.pause = 500*time.Millisecond, 10*time.Millisecond
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

// Guards against a frozen process that keeps bqctl from asking the next one.
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
	away := serve(t, http.StatusServiceUnavailable, `{"code":"unavailable","text":"no leader"}`)
	_, err := call(t, unknown, away)
	is.Equal(code(err), operator.CodeUnknown)
	_, err = call(t, unknown, serve(t, http.StatusPreconditionFailed, `{"code":"unsafe","text":"no"}`))
	is.Equal(code(err), operator.CodeUnknown)
	_, err = call(t, away)
	is.Equal(code(err), operator.CodeUnavailable)
}

// Guards against a token that a redirect or a leader's name carries elsewhere,
// and against endless hops.
func TestTokenStaysWithNumericLeaders(t *testing.T) {
	is := is.New(t)
	asked := 0
	stranger := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked++ }))
	defer stranger.Close()
	redirect := httptest.NewServer(http.RedirectHandler(stranger.URL, http.StatusTemporaryRedirect))
	defer redirect.Close()
	_, err := call(t, redirect.URL)
	is.Equal(code(err), operator.CodeUnknown)
	_, err = call(t, serve(t, http.StatusMisdirectedRequest, `{"code":"notLeader","text":"not leader","leader":"stranger.example:1"}`))
	is.Equal(code(err), operator.CodeNotLeader)
	is.Equal(asked, 0)
	var first *httptest.Server
	first = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = w.Write([]byte(`{"code":"notLeader","text":"not leader","leader":"` + first.Listener.Addr().String() + `"}`))
	}))
	defer first.Close()
	_, err = call(t, first.URL)
	is.Equal(code(err), operator.CodeNotLeader)
	is.Equal(asked, rounds*(maxHops+1))
}
