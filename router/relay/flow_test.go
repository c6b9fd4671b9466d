package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/httpserver"
)

// Guards against a hop that loses the caller of a request, or passes the internal header
// on to the target, and against an older peer's request that is not understood.
func TestFlowOverHop(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := &routedRequest{service: "s", route: "r", caller: "shop", entry: "10.1.0.4:7580", objective: now, deadline: now}
	for entry, want := range map[string]string{"10.1.0.4:7580": "process 10.1.0.4:7580", "": "service shop"} {
		r := &httpserver.Request{Header: http.Header{}, Received: now}
		if entry != "" {
			r.Header.Set(headerEntry, entry)
		}
		got, ok := decodeRouting(encodeRouting(sent, now), r, "id")
		is.True(ok)
		is.Equal(got.flow(), want)
		is.Equal(got.header.Get(headerEntry), "")
	}
	is.Equal((&routedRequest{account: "acme", entry: "p"}).flow(), "account acme")
}

// Guards against the weights of an earlier document.
func TestAccountWeights(t *testing.T) {
	is := is.New(t)
	var w accountWeights
	table := func(weight float64) *routes.Table {
		return routes.NewTable(&routes.Document{Version: 1, Accounts: []routes.Account{{Name: "acme", Weight: weight}}})
	}
	is.Equal(w.of(nil, "acme"), 1.0)
	is.Equal(w.of(table(3), "acme"), 3.0)
	is.Equal(w.of(table(5), "acme"), 5.0)
	is.Equal(w.of(table(0), "acme"), 1.0)
	is.Equal(w.of(table(5), "other"), 1.0)
}
