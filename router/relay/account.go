package relay

import (
	"net/http"
	"strings"

	"github.com/phuslu/log"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/httpserver"
)

// headerAccount carries the name of the account from an ingress to the gate of another
// process. It is not part of headerHop, so that older processes can read that.
const headerAccount = "Bq-Account-Name"

// authenticate finds the account of a request whose route is known. If the request is
// unauthorized, it returns the answer for the caller, which names the scheme.
func (in *Ingress) authenticate(st *requestState) *httpserver.Response {
	req := st.request
	values := req.request.Header.Values(in.names.Authorization)
	account, refusal := st.view.Routes.Authenticate(st.route, req.request.Path, in.names.AuthorizationScheme, values)
	if refusal != "" {
		countUnauthorized()
		st.last.reason = string(refusal)
		resp := in.failure(st, http.StatusUnauthorized)
		resp.Header.Set("WWW-Authenticate", in.names.AuthorizationScheme)
		return resp
	}
	st.account = account
	return nil
}

// setAccount sets the account, the priority and the headers of a request that is
// authorized.
func (in *Ingress) setAccount(st *requestState) {
	req := st.request
	req.priority = st.route.Priority
	if st.account != nil {
		req.account = st.account.Name
		if st.account.Priority != nil {
			req.priority = *st.account.Priority
		}
	}
	in.names.setAccount(req.header, st.view.Routes, req.account)
}

// setAccount removes what the caller has set of the key and of the account's name while
// the document has accounts, in all spellings, and sets the name, if there is one. The gate
// does it too: its document may be newer, and older ingresses do not.
func (n *HeaderNames) setAccount(h http.Header, t *routes.Table, account string) {
	if t != nil && t.HasAccounts() {
		h.Del(n.Authorization)
		h.Del(n.Account)
		for name := range h {
			if strings.Contains(name, "_") && (isSpelling(name, n.Authorization) || isSpelling(name, n.Account)) {
				delete(h, name)
			}
		}
	}
	if account != "" && n.Account != "" {
		h.Set(n.Account, account)
	}
}

// isSpelling reports whether a target may take name for the header: CGI and WSGI map
// hyphens and underscores to the same variable.
func isSpelling(name, header string) bool {
	return strings.EqualFold(strings.ReplaceAll(name, "_", "-"), strings.ReplaceAll(header, "_", "-"))
}

// withAccount adds the account of a request to a log line. Lines of requests without one
// stay as short as before.
func withAccount(e *log.Entry, req *routedRequest) *log.Entry {
	if req.account == "" {
		return e
	}
	return e.Str("account", req.account)
}
