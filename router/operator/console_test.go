package operator_test

import (
	"fmt"
	"html"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/operator/controlfake"
)

// Guards against pages that need no login, forms that need no token, and a session
// cookie that scripts or other sites can use.
func TestConsoleSessions(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	server, logged := startServer(t, control)
	b := newBrowser(t, server)
	for _, path := range []string{"/", "/console/", "/console/services", "/console/history", "/console/document/1", "/console/drain?scope=target&name=a&on=true"} {
		b.get(path)
		b.expect("<h1>Log in</h1>")
	}
	values := b.fields("/console/login")
	values.Set("name", "Ana")
	values.Set("secret", "not the secret of it")
	b.post("/console/login", values)
	is.Equal(b.status, http.StatusForbidden)
	b.expect("The secret is wrong.")
	values = b.fields("/console/login")
	values.Set("secret", string(secret.Bytes()))
	b.post("/console/login", values)
	b.expect("<h1>State</h1>")
	b.post("/console/login", values)
	is.Equal(b.status, http.StatusForbidden) // a login invalidates the tokens issued before it
	b.login()
	is.True(!strings.Contains(logged.String(), "secret of the test cluster"))
	is.True(!strings.Contains(logged.String(), "not the secret of it"))

	loggedOut := newBrowser(t, server)
	loggedOut.post("/console/drain", url.Values{"scope": {"dataCentre"}, "name": {"m1"}, "on": {"true"}, "change": {"x"}})
	loggedOut.expect("<h1>Log in</h1>")

	b.get("/console/drain?scope=dataCentre&name=m1&on=true")
	values = b.fields("/console/drain")
	for _, token := range []string{"", "0", strings.Repeat("0", 64)} {
		forged := url.Values{"scope": values["scope"], "name": values["name"], "on": values["on"], "change": values["change"], "token": {token}}
		b.post("/console/drain", forged)
		is.Equal(b.status, http.StatusForbidden)
	}
	b.get("/console/services")
	values.Set("token", b.fields("/console/services").Get("token")) // the token of another form
	b.post("/console/drain", values)
	is.Equal(b.status, http.StatusForbidden)
	is.Equal(len(control.Actions()), 0)

	response, err := http.Get(server.URL + "/console/login")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	cookie := response.Header.Get("Set-Cookie")
	is.True(strings.Contains(cookie, "HttpOnly") && strings.Contains(cookie, "SameSite=Strict"))
	is.True(strings.Contains(response.Header.Get("Content-Security-Policy"), "default-src 'none'"))
	name, _, _ := strings.Cut(cookie, ";")
	r, err := http.NewRequest("GET", server.URL+"/console/", nil)
	is.NoErr(err)
	for _, altered := range []string{name, name[:len(name)-1] + "x", "bq_session=e30.", "bq_session=."} {
		r.Header.Set("Cookie", altered)
		response, err = http.DefaultTransport.RoundTrip(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusSeeOther) // a session before login, or none
	}
}

// Guards against a form that loses parts of the document or does not remove an
// entry, or that saves before the diff was shown.
func TestConsoleShowsDifferenceBeforeSaving(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	control.Moved = 7
	server, _ := startServer(t, control)
	b := newBrowser(t, server)
	b.login()
	b.get("/console/services")
	values := b.fields("/console/services")
	b.post("/console/services", values)
	b.expect("there is nothing to save")
	values.Set("services[0].limits.timeoutMs", "750")
	values.Set("services[1].name", "deposits")
	values["services[1].dataCentres"] = []string{"m1", "m2"}
	b.post("/console/services", values)
	b.expect("moves 7 units, 25.0 % of all units", `<span class="added">&#43;        &#34;timeoutMs&#34;: 750`, "deposits")
	revision, _ := control.Newest()
	is.Equal(revision, uint64(1)) // nothing saved yet
	b.post("/console/save", b.fields("/console/save"))
	b.expect("Revision 2 is accepted")
	revision, text := control.Newest()
	is.Equal(revision, uint64(2))
	is.True(strings.Contains(text, `"prefix": ""`) && strings.Contains(text, `"timeoutMs": 750`) && strings.Contains(text, `"deposits"`))

	b.get("/console/services")
	values = b.fields("/console/services")
	values.Set("services[0].remove", "on")
	b.post("/console/services", values)
	b.post("/console/save", b.fields("/console/save"))
	_, text = control.Newest()
	is.True(!strings.Contains(text, "catalogue") && strings.Contains(text, `"deposits"`))
}

// Guards against findings that are not shown at their field, and against losing the
// input after a finding.
func TestConsoleShowsFindingsAtTheirField(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	server, _ := startServer(t, control)
	b := newBrowser(t, server)
	b.login()
	cases := []struct{ form, field, value, want string }{
		{"services", "services[0].limits.queue", "many", "is not a whole number"},
		{"services", "services[0].limits.connectionsPerTarget", "200", "must be from 1 to 130"},
		{"services", "services[0].shards", "-1", "is not a whole number"},
		{"data-centres", "dataCentres[1].name", "a:b", "may hold letters"},
		{"rules", "services[0].rules[0].name", `<b>"`, "may hold letters"},
	}
	for _, c := range cases {
		b.get("/console/" + c.form)
		values := b.fields("/console/" + c.form)
		values.Set(c.field, c.value)
		b.post("/console/"+c.form, values)
		is.Equal(b.status, http.StatusUnprocessableEntity)
		_, after, found := strings.Cut(b.page, fmt.Sprintf(`name="%s" value="%s"`, c.field, html.EscapeString(c.value)))
		if field, _, _ := strings.Cut(after, "</div>"); !found || !strings.Contains(field, c.want) {
			t.Errorf("%s: %q is not shown at the field:\n%s", c.field, c.want, b.page)
		}
	}
	b.get("/console/rules")
	values := b.fields("/console/rules")
	values.Set("services[0].rules[0].remove", "on")
	values.Set("services[0].rules[1].name", "north")
	values.Set("services[0].rules[1].prefix", " n")
	b.post("/console/rules", values)
	b.expect("leave keys uncovered", `name="services[0].rules[0].prefix" value=" n"`)
	revision, _ := control.Newest()
	is.Equal(revision, uint64(1))
}

// Guards against a conflict in which one of the two changes is lost, against a retry
// that is applied as a second change, and against a rollback that restores another
// text.
func TestConsoleConflictsAndLostResponses(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	server, _ := startServer(t, control)
	first, second := newBrowser(t, server), newBrowser(t, server)
	first.login()
	second.login()
	first.get("/console/switches")
	mine := first.fields("/console/switches")
	second.get("/console/data-centres")
	theirs := second.fields("/console/data-centres")
	theirs.Set("dataCentres[1].name", "m7")
	second.post("/console/data-centres", theirs)
	control.LoseResponse = true
	sent := second.fields("/console/save")
	second.post("/console/save", sent)
	is.Equal(second.status, http.StatusGatewayTimeout)
	second.expect("sending it again is safe")
	second.post("/console/save", second.fields("/console/save"))
	second.expect("Revision 2 is accepted")

	mine.Set("automation.allOff", "on")
	first.post("/console/switches", mine)
	first.expect("which is no longer the newest")
	first.post("/console/save", first.fields("/console/save"))
	is.Equal(first.status, http.StatusConflict)
	first.expect("Revision 2 by Ana", "<h2>Yours</h2>", `<span class="added">&#43;    &#34;allOff&#34;: true,`, "m7")
	first.post("/console/review", first.fields("/console/review"))
	first.expect("<h2>Difference to revision 2</h2>")
	first.post("/console/save", first.fields("/console/save"))
	first.expect("Revision 3 is accepted")
	_, text := control.Newest()
	is.True(strings.Contains(text, `"allOff": true`))

	first.get("/console/document/1")
	first.post("/console/review", first.fields("/console/review"))
	first.post("/console/save", first.fields("/console/save"))
	_, text = control.Newest()
	is.Equal(text, document)
}

// Guards against a state page that does not show errors, and against actions
// without effect.
func TestConsoleStateAndActions(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	control.State = operator.Status{
		Cluster: "muscat", Automation: config.Automation{AllOff: true},
		DataCentres: []operator.DataCentreStatus{{Name: "m1", Slots: 12, Running: 6, Rate: 100}, {Name: "m<2", Drained: true}},
		Members:     []operator.MemberStatus{{ID: "n1", State: "draining", ConfigRevision: 0}},
		Pending:     []operator.PendingAction{{ID: "p1", Action: config.ActionFailover, Text: "n9 is lost", Since: time.Unix(0, 0)}},
	}
	server, _ := startServer(t, control)
	b := newBrowser(t, server)
	b.login()
	b.expect("There is no control leader.", "All automatic actions are off.", "<svg ", `width="210"`, "m&lt;2", "6 of 12 slots, 100 requests/s", "n9 is lost",
		`href="/console/drain?scope=instance&amp;name=n1&amp;on=false"`)
	b.post("/console/automation", b.fields("/console/automation"))
	b.expect("Recorded.")
	b.get("/console/drain?scope=dataCentre&name=m1&on=true")
	values := b.fields("/console/drain")
	b.post("/console/drain", values)
	b.expect("dataCentre m1 is being drained.")
	b.post("/console/drain", values) // as if the page is reloaded
	b.expect("There was nothing left to do.")
	is.Equal(len(control.Actions()), 2)
	control.SetFail(&operator.Error{Code: operator.CodeUnavailable, Text: "No quorum."})
	b.get("/console/?refresh=5")
	is.Equal(b.status, http.StatusServiceUnavailable)
	b.expect("No quorum. Nothing was changed.")
	b.get("/console/?refresh=5")
	b.expect(`<meta http-equiv="refresh" content="5">`)
	b.post("/console/logout", b.fields("/console/logout"))
	b.expect("<h1>Log in</h1>")
}
