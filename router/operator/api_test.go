package operator_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/operator/controlfake"
	"bramleyquay.example/router/settings"
)

const document = `{
  "dataCentres": [{"name": "m1"}, {"name": "m2"}],
  "services": [{"name": "catalogue", "keyed": true, "dataCentres": ["m1", "m2"],
    "rules": [{"name": "all", "prefix": "", "dataCentres": ["m1"]}]}],
  "automation": {"rebalance": true, "hotKeys": true, "failover": true, "replicaReplacement": true, "ejection": true, "repeats": true}
}`

var secret = settings.NewSecret("a secret of the test cluster")

// logBuffer collects log lines of concurrent handlers.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func startServer(t *testing.T, control operator.ControlPlane) (*httptest.Server, *logBuffer) {
	t.Helper()
	logged := &logBuffer{}
	logger := &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: logged}}
	server := httptest.NewServer(operator.Handler(control, operator.Auth{Secret: secret}, logger))
	t.Cleanup(server.Close)
	return server, logged
}

func send(t *testing.T, method, url, token, kind, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	r.Header.Set("Content-Type", kind)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

func postAPI(t *testing.T, server *httptest.Server, path, body string) (int, string) {
	t.Helper()
	return send(t, "POST", server.URL+"/api/v1"+path, operator.Token(secret), "application/json", body)
}

func applyBody(t *testing.T, base uint64, id, text string) string {
	t.Helper()
	body, err := json.Marshal(operator.ApplyRequest{Base: base, ChangeID: id, Author: "ana", Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against an API that accepts requests without a valid token, against the
// secret in a response and against the token in the log.
func TestAPIRefusesRequestsWithoutToken(t *testing.T) {
	is := is.New(t)
	server, logged := startServer(t, controlfake.New(document))
	for _, token := range []string{"", string(secret.Bytes()), operator.Token(settings.NewSecret("another secret of a cluster")), strings.ToUpper(operator.Token(secret)), operator.Token(secret) + "0"} {
		for _, path := range []string{"/status", "/history", "/document/0", "/dump/m1"} {
			status, body := send(t, "GET", server.URL+"/api/v1"+path, token, "", "")
			is.Equal(status, http.StatusUnauthorized)
			is.True(!strings.Contains(body, string(secret.Bytes())))
		}
		status, _ := send(t, "POST", server.URL+"/api/v1/apply", token, "application/json", applyBody(t, 1, "x", document))
		is.Equal(status, http.StatusUnauthorized)
	}
	status, _ := send(t, "GET", server.URL+"/api/v1/status", operator.Token(secret), "", "")
	is.Equal(status, http.StatusOK)
	is.True(!strings.Contains(logged.String(), operator.Token(secret)))
	empty := httptest.NewServer(operator.Handler(controlfake.New(""), operator.Auth{}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	defer empty.Close()
	status, _ = send(t, "GET", empty.URL+"/api/v1/status", operator.Token(settings.Secret{}), "", "")
	is.Equal(status, http.StatusUnauthorized) // without a secret every token is refused
}

// Guards against accepting a change of a revision that is no longer current, and
// against a retry that makes a second revision.
func TestAPIAppliesOnceAndReportsConflicts(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	server, _ := startServer(t, control)
	status, body := postAPI(t, server, "/apply", applyBody(t, 1, "a", document+"\n"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"revision":2}`+"\n")
	status, body = postAPI(t, server, "/apply", applyBody(t, 1, "a", document+"\n"))
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"revision":2}`+"\n")
	status, body = postAPI(t, server, "/apply", applyBody(t, 1, "b", document))
	is.Equal(status, http.StatusConflict)
	var reply operator.ApplyReply
	is.NoErr(json.Unmarshal([]byte(body), &reply))
	is.Equal(*reply.Conflict, operator.Conflict{Revision: 2, Author: "ana", Text: document + "\n"})
	revision, _ := control.Newest()
	is.Equal(revision, uint64(2))
}

// Guards against invalid requests that reach the control group.
func TestAPIRefusesBadInput(t *testing.T) {
	control := controlfake.New(document)
	server, _ := startServer(t, control)
	bad := strings.Replace(document, `["m1", "m2"]`, `["m1", "m9"]`, 1)
	cases := []struct {
		path, body string
		status     int
		want       string
	}{
		{"/apply", applyBody(t, 1, "x", bad), 422, `"line":3,"column":75,"path":"services[0].dataCentres[1]","text":"data centre \"m9\" is not defined"`},
		{"/apply", applyBody(t, 1, "", document), 400, "changeId is missing"},
		{"/apply", `{"bas":1}`, 400, `unknown field`},
		{"/apply", `{} {}`, 400, "more than one JSON value"},
		{"/apply", strings.Repeat(" ", operator.MaxBodyBytes+1), 413, "larger than"},
		{"/preview", `{"text":"{"}`, 200, "unexpected EOF"},
		{"/drain", `{"scope":"rack","name":"m1","changeId":"x","author":"a"}`, 400, "scope is not"},
		{"/drain", `{"scope":"target","name":"m:1","changeId":"x","author":"a"}`, 400, "name may hold"},
		{"/move", `{"unit":"catalogue","to":"m1","changeId":"x","author":"a"}`, 400, "is not service/shard"},
		{"/merge", `{"unit":"catalogue:all/1","changeId":"x","author":"a"}`, 400, "only a split key can be merged"},
		{"/split", `{"service":"catalogue","key":"","changeId":"x","author":"a"}`, 400, "key is empty"},
		{"/automation", `{"op":"off","action":"none","changeId":"x","author":"a"}`, 400, "action is neither all nor"},
		{"/automation", `{"op":"approve","changeId":"x","author":"a"}`, 400, "id of the pending action"},
		{"/control", `{"op":"add","id":"c4","address":"host:1","changeId":"x","author":"a"}`, 400, "address"},
		{"/control", `{"op":"remove","id":"c4","changeId":"x","author":"a\u001b"}`, 400, "author is longer"},
		{"/nothing", `{}`, 404, "no such page"},
	}
	for _, c := range cases {
		status, body := postAPI(t, server, c.path, c.body)
		if status != c.status || !strings.Contains(body, c.want) {
			t.Errorf("%s %.80s: want %d %s, got %d %s", c.path, c.body, c.status, c.want, status, body)
		}
	}
	// Browsers let a form of another site post text/plain without a preflight
	// request.
	valid := `{"scope":"target","name":"m1","changeId":"x","author":"a"}`
	if status, _ := send(t, "POST", server.URL+"/api/v1/drain", operator.Token(secret), "text/plain", valid); status != 400 {
		t.Errorf("text/plain was accepted: got %d", status)
	}
	if actions := control.Actions(); len(actions) != 0 {
		t.Errorf("actions reached the control group: %v", actions)
	}
}

// Guards against errors that lose their code, and against responses with the text
// of an internal error.
func TestAPIReportsErrors(t *testing.T) {
	is := is.New(t)
	control := controlfake.New(document)
	server, logged := startServer(t, control)
	drain := `{"scope":"dataCentre","name":"m1","on":true,"changeId":"x","author":"a"}`
	control.SetFail(&operator.Error{Code: operator.CodeNotLeader, Text: "not leader", Leader: "127.0.0.1:9"})
	status, body := postAPI(t, server, "/drain", drain)
	is.Equal(status, http.StatusMisdirectedRequest)
	is.Equal(body, `{"code":"notLeader","text":"not leader","leader":"127.0.0.1:9"}`+"\n")
	control.SetFail(io.ErrUnexpectedEOF)
	status, body = postAPI(t, server, "/drain", drain)
	is.Equal(status, http.StatusInternalServerError)
	is.True(!strings.Contains(body, "EOF") && strings.Contains(logged.String(), "EOF"))
	status, body = postAPI(t, server, "/drain", drain)
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"text":"dataCentre m1 is being drained."}`+"\n")
}
