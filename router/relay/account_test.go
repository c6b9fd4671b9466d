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
// included; against a request that ends targets and counts for each account anew; against
// a routing decision that older processes cannot decode because of the account; and
// against an account that is lost on the way to the gate.
func TestAccountOfRequest(t *testing.T) {
	is := is.New(t)
	zero, now := 0, time.Now()
	d := &routes.Document{Version: 1, Accounts: []routes.Account{{Name: "first", Priority: &zero}, {Name: "second"}}}
	in, view := &Ingress{names: DefaultHeaderNames}, &fleetagent.View{Routes: routes.NewTable(d)}
	prepared := func(account *routes.Account) *routedRequest {
		r := &httpserver.Request{Method: "GET", Host: "h", URI: "/", Header: http.Header{}}
		st := &requestState{view: view, route: &routes.Route{Priority: 3}, account: account,
			request: &routedRequest{request: r, header: http.Header{}, objective: now, deadline: now}}
		in.setAccount(st)
		st.request.setFingerprint()
		return st.request
	}
	first, second, none := prepared(&d.Accounts[0]), prepared(&d.Accounts[1]), prepared(nil)
	is.Equal([]int{first.priority, second.priority, none.priority}, []int{0, 3, 3})
	is.True(first.fingerprint == second.fingerprint && first.fingerprint == none.fingerprint)

	values := encodeRouting(first, now)
	is.Equal(values, []string{";;0;;;0;0;0;false"})
	req, err := decodeRouting(values, &httpserver.Request{Header: http.Header{headerAccount: {"first"}}, Received: now}, "id")
	is.NoErr(err)
	is.Equal(req.account, "first")
	is.Equal(len(req.header), 0)
}

// Guards against a caller that names an account, or shows a key to the target, by a
// spelling that targets take for the same header: CGI and WSGI map hyphens and underscores
// to the same variable.
func TestOtherSpellingsOfAccountHeaders(t *testing.T) {
	is := is.New(t)
	names := DefaultHeaderNames
	names.Authorization = "X-Api-Key"
	with, without := routes.NewTable(&routes.Document{Version: 1, Accounts: []routes.Account{{Name: "south"}}}), routes.NewTable(&routes.Document{Version: 1})
	forged := func() http.Header {
		return http.Header{"Bq-Account": {"a"}, "Bq_account": {"b"}, "BQ_ACCOUNT": {"c"}, "X_api-Key": {"d"}, "Bq_other": {"e"}}
	}
	h := forged()
	names.setAccount(h, with, "south")
	is.Equal(h, http.Header{"Bq-Account": {"south"}, "Bq_other": {"e"}})
	h = forged()
	names.setAccount(h, with, "")
	is.Equal(h, http.Header{"Bq_other": {"e"}})
	h = forged()
	names.setAccount(h, without, "")
	is.Equal(h, forged())
}
