package fleetdaemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

// accountDocument has two accounts, and a public route to the plain service.
func accountDocument(version uint64) *routes.Document {
	d := document(version)
	first := 0
	d.Accounts = []routes.Account{
		{Name: "north", KeyHashes: routes.HashKeys([]string{"key-n1", "key-n2"}), Priority: &first},
		{Name: "south", KeyHashes: routes.HashKeys([]string{"key-s"})},
	}
	public := d.Routes[1]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	d.Routes = append(d.Routes, public)
	return d
}

// seenRequests collects the headers of the requests that targets get, by id.
type seenRequests struct {
	mu   sync.Mutex
	byID map[string]http.Header
	at   map[string]int // requests by target
}

func recordRequests(targets ...*target) *seenRequests {
	s := &seenRequests{byID: map[string]http.Header{}, at: map[string]int{}}
	for _, p := range targets {
		p.behave = func(_ http.ResponseWriter, r *http.Request) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.byID[r.Header.Get("X-Id")] = r.Header.Clone()
			s.at[p.name]++
			return false
		}
	}
	return s
}

func (s *seenRequests) header(id string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *seenRequests) count(target string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[target]
}

// callWith sends a request with several values of a header.
func (t *target) callWith(address, path, id string, header http.Header) (int, http.Header) {
	req, _ := http.NewRequest("GET", "http://"+address+path, nil)
	req.Host = "h"
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Deadline-Ms", "5000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the status and the headers are enough
	_ = resp.Body.Close()                 // only read
	return resp.StatusCode, resp.Header
}

// startAccountCluster starts two plain members whose document has accounts.
func startAccountCluster(t *testing.T) (plain [2]*target, c *cluster, seen *seenRequests) {
	c = newCluster(t)
	c.apply(accountDocument(1))
	plain = [2]*target{c.addMember("a1", "plain"), c.addMember("a2", "plain")}
	seen = recordRequests(plain[:]...)
	await(t, "service over hops", func() bool {
		for _, p := range plain {
			if status, _ := p.callWith(p.cfg.Sidecar.Caller, "/public/x", "w", nil); status != 200 || len(p.Agent().View().Members) != 2 {
				return false
			}
		}
		return true
	})
	return plain, c, seen
}

func key(text string) http.Header { return http.Header{"Authorization": {text}} }

// Guards against requests that reach a target without a valid key, and against refusals
// of unauthorized requests that do not name the scheme or hide a missing route.
func TestUnauthorizedRequests(t *testing.T) {
	plain, _, seen := startAccountCluster(t)
	tests := map[string]struct {
		path   string
		header http.Header
		want   int
	}{
		"no key":                    {"/safe/x", nil, 401},
		"unknown key":               {"/safe/x", key("Key key-x"), 401},
		"two headers":               {"/safe/x", http.Header{"Authorization": {"Key key-s", "Key key-s"}}, 401},
		"two names of the header":   {"/safe/x", http.Header{"Authorization": {"Key key-s"}, "authorization": {"Key key-s"}}, 401},
		"other scheme":              {"/safe/x", key("Basic key-s"), 401},
		"empty key":                 {"/safe/x", key("Key "), 401},
		"empty header":              {"/safe/x", key(""), 401},
		"account's name is set":     {"/safe/x", http.Header{"X-Account": {"south"}, "Bq-Account-Name": {"south"}}, 401},
		"hop is set":                {"/safe/x", http.Header{"Bq-Hop": {"plain;safe;0;;plain;2000;5000;1;false"}, "Bq-Account-Name": {"south"}}, 401},
		"public, unknown key":       {"/public/x", key("Key key-x"), 401},
		"no key of the key space":   {"/keyed/x", nil, 401},
		"no key of the key space 2": {"/keyed/x", key("Key key-s"), 400},
		"no route":                  {"/none/", key("Key key-x"), 404},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := "u " + name
			status, header := plain[0].callWith(plain[0].cfg.Sidecar.Caller, c.path, id, c.header)
			is.Equal(status, c.want)
			is.Equal(header.Get("WWW-Authenticate") == "Key", c.want == 401)
			is.Equal(header.Get("X-Id") == id, c.want == 401)
			is.Equal(seen.header(id), nil)
		})
	}
}

// Guards against targets that get a key, no name of the account, or one that the caller
// has set, at the first process and over a hop.
func TestTargetsGetTheAccount(t *testing.T) {
	plain, _, seen := startAccountCluster(t)
	forged := func(h http.Header) http.Header {
		h["X-Account"], h["Bq-Account-Name"], h["Bq-Hop"] = []string{"forged"}, []string{"forged"}, []string{"forged"}
		return h
	}
	hidden := func(h http.Header) http.Header {
		h["Connection"] = []string{"X-Account, Authorization, Bq-Account-Name"}
		return h
	}
	tests := map[string]struct {
		path    string
		header  func() http.Header
		account []string
	}{
		"key":                     {"/safe/x", func() http.Header { return key("Key key-s") }, []string{"south"}},
		"key, name set by caller": {"/safe/x", func() http.Header { return forged(key("key key-n2")) }, []string{"north"}},
		"public, key":             {"/public/x", func() http.Header { return hidden(forged(key("Key key-s"))) }, []string{"south"}},
		"public":                  {"/public/x", func() http.Header { return forged(http.Header{}) }, nil},
	}
	is := is.New(t)
	callAll := func(prefix string) {
		for name, c := range tests {
			id := prefix + name
			status, _ := plain[0].callWith(plain[0].cfg.Sidecar.Caller, c.path, id, c.header())
			is.Equal(status, 200)
			h := seen.header(id)
			is.Equal(h.Values("X-Account"), c.account)
			is.Equal(len(h.Values("Authorization"))+len(h.Values("Bq-Account-Name"))+len(h.Values("Bq-Hop")), 0)
		}
	}
	callAll("any target ")
	// Only the target of the other process is left.
	plain[0].mu.Lock()
	plain[0].draining = true
	plain[0].mu.Unlock()
	await(t, "drain", func() bool {
		at, ok := plain[0].Agent().Target()
		return ok && !at.Accepts
	})
	before := seen.count(plain[1].name)
	callAll("over a hop ")
	is.Equal(seen.count(plain[1].name), before+len(tests))
}

// Guards against an ingress of an earlier version, which passes on what a caller has set:
// the gate must not pass on a key or a name that is not the ingress's.
func TestGateRemovesWhatCallersSet(t *testing.T) {
	is := is.New(t)
	plain, _, seen := startAccountCluster(t)
	h := http.Header{"Authorization": {"Key key-s"}, "X-Account": {"forged"}, "Bq-Hop": {"plain;safe;0;;plain;2000;5000;1;false"}}
	status, _ := plain[0].callWith(plain[0].cfg.Sidecar.Gate, "/safe/x", "old", h)
	is.Equal(status, 200)
	is.Equal(len(seen.header("old").Values("X-Account"))+len(seen.header("old").Values("Authorization")), 0)
	h.Set("Bq-Account-Name", "south")
	status, _ = plain[0].callWith(plain[0].cfg.Sidecar.Gate, "/safe/x", "new", h)
	is.Equal(status, 200)
	is.Equal(seen.header("new").Values("X-Account"), []string{"south"})
}

// Guards against a key that stays valid on a connection which was opened before the key
// was revoked, and against a new key that is refused there.
func TestRevokedKeyOnOpenConnection(t *testing.T) {
	is := is.New(t)
	plain, c, _ := startAccountCluster(t)
	conn, err := net.Dial("tcp", plain[0].cfg.Sidecar.Caller)
	is.NoErr(err)
	defer func() { _ = conn.Close() }() // the test has ended
	answers, n := bufio.NewReader(conn), 0
	send := func(key string) int {
		n++
		_, err := fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r%d\r\nAuthorization: Key %s\r\n\r\n", n, key)
		is.NoErr(err)
		resp, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(send("key-n1"), 200)
	is.Equal(send("key-new"), 401)
	next := accountDocument(2)
	next.Accounts[0].KeyHashes = routes.HashKeys([]string{"key-n2", "key-new"})
	c.apply(next)
	await(t, "new document", func() bool { return plain[0].Agent().View().Version() == 2 })
	is.Equal(send("key-n1"), 401)
	is.Equal(send("key-n2"), 200)
	is.Equal(send("key-new"), 200)
}

// Guards against deployments without accounts whose targets no longer get the headers
// that callers send.
func TestNoAccountsChangeNoHeaders(t *testing.T) {
	is := is.New(t)
	keyed, plain, _ := startServingCluster(t)
	seen := recordRequests(keyed[0], keyed[1], plain[0], plain[1])
	for _, at := range []*target{keyed[0], plain[0]} {
		h := http.Header{"Authorization": {"Basic a", "Basic b"}, "X-Account": {"x"}, "Bq-Account-Name": {"y"}}
		status, _ := at.callWith(at.cfg.Sidecar.Caller, "/safe/x", at.name, h)
		is.Equal(status, 200)
		is.Equal(strings.Join(seen.header(at.name).Values("Authorization"), ","), "Basic a,Basic b")
		is.Equal(seen.header(at.name).Values("X-Account"), []string{"x"})
		is.Equal(seen.header(at.name).Get("Bq-Account-Name"), "")
	}
}

// Guards against an upload without a valid key that gets no answer or reaches a target,
// for bodies that are read before and after the request is authorized.
func TestUnauthorizedUpload(t *testing.T) {
	is := is.New(t)
	plain, _, seen := startAccountCluster(t)
	for _, n := range []int64{100 << 10, 2 << 20} {
		for _, chunked := range []bool{false, true} {
			id := fmt.Sprint("upload", n, chunked)
			status, _ := plain[0].upload(id, n, chunked)
			is.Equal(status, http.StatusUnauthorized)
			is.Equal(seen.header(id), nil)
		}
	}
}
