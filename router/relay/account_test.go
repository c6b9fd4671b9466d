package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetagent"
	"bramleyquay.example/router/httpserver"
)

// Guards against the route's priority in place of the account's, a priority of 0
// included, and against a request that ends targets and counts for each account anew.
func TestAccountOfRequest(t *testing.T) {
	is := is.New(t)
	zero := 0
	d := &routes.Document{Version: 1, Accounts: []routes.Account{{Name: "first", Priority: &zero}, {Name: "second"}}}
	view := &fleetagent.View{Routes: routes.NewTable(d)}
	in := &Ingress{names: DefaultHeaderNames}
	prepared := func(account *routes.Account) *routedRequest {
		r := &httpserver.Request{Method: "GET", Host: "h", URI: "/", Header: http.Header{}}
		st := &requestState{view: view, route: &routes.Route{Priority: 3}, account: account, request: &routedRequest{request: r, header: http.Header{"Bq-Account": {"forged"}}}}
		in.setAccount(st)
		st.request.setFingerprint()
		return st.request
	}
	first, second, none := prepared(&d.Accounts[0]), prepared(&d.Accounts[1]), prepared(nil)
	is.Equal([]int{first.priority, second.priority, none.priority}, []int{0, 3, 3})
	is.Equal([]string{first.header.Get("Bq-Account"), second.header.Get("Bq-Account"), none.header.Get("Bq-Account")}, []string{"first", "second", ""})
	is.True(first.fingerprint == second.fingerprint && first.fingerprint == none.fingerprint)
}

// Guards against a routing decision that older processes cannot decode because of the
// account, and against an account that is lost on the way to the gate.
func TestAccountOverHop(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	text := encodeRouting(&routedRequest{service: "s", route: "r", account: "a", deadline: now, objective: now}, now)
	is.Equal(text, "s;r;0;;;0;0;0;false")
	h := http.Header{headerAccount: {"a"}}
	req, ok := decodeRouting(text, &httpserver.Request{Header: h, Received: now}, "id")
	is.True(ok)
	is.Equal(req.account, "a")
	is.Equal(len(req.header), 0)
}
