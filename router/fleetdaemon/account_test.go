package fleetdaemon_test

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/logging"
)

// Keys of the tests. Their texts occur nowhere else, so that they can be searched for.
const north1, north2, south, unknown, later = "k3y-north-7f31", "k3y-north-90ab", "k3y-south-c4d2", "k3y-unknown-5e66", "k3y-later-1b08"

// accountDocument has two accounts, and a public route to the plain service.
func accountDocument(version uint64, northKeys ...string) *routes.Document {
	d := document(version)
	d.Accounts = []routes.Account{
		{Name: "north", KeyHashes: routes.HashKeys(northKeys)}, {Name: "south", KeyHashes: routes.HashKeys([]string{south})},
	}
	public := d.Routes[1]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	d.Routes = append(d.Routes, public)
	return d
}

// collected keeps what several goroutines write.
type collected struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (c *collected) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buf.Write(p)
}

func (c *collected) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buf.String()
}

// accountCluster is a cluster of two plain members with accounts. It keeps all log lines
// and answers, and the headers of the requests that targets get, by id.
type accountCluster struct {
	*cluster
	plain         [2]*target
	logs, answers collected
	seen, at      sync.Map // headers by id, the target's name by id
}

func startAccountCluster(t *testing.T, d *routes.Document) *accountCluster {
	c := &accountCluster{}
	c.cluster = newLoggingCluster(t, func() *log.Logger { return logging.New(&c.logs, "trace", false) })
	c.apply(d)
	for i := range c.plain {
		p := c.addMember(fmt.Sprint("a", i), "plain")
		p.behave = func(_ http.ResponseWriter, r *http.Request) bool {
			c.seen.Store(r.Header.Get("X-Id"), r.Header.Clone())
			c.at.Store(r.Header.Get("X-Id"), p.name)
			return false
		}
		c.plain[i] = p
	}
	await(t, "service by both members", func() bool {
		for _, p := range c.plain {
			if c.send(p.cfg.Sidecar.Caller, "/public/x", "w", nil) != 200 && c.send(p.cfg.Sidecar.Caller, "/safe/x", "w", nil) != 200 || len(p.Agent().View().Members) != 2 {
				return false
			}
		}
		return true
	})
	return c
}

// send sends a request with headers, which may have several values, and returns the
// status of the answer.
func (c *accountCluster) send(address, path, id string, header http.Header) int {
	req, _ := http.NewRequest("GET", "http://"+address+path, nil)
	if header != nil {
		req.Header = header.Clone()
	}
	req.Host = "h"
	req.Header.Set("X-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // only read
	_ = resp.Write(&c.answers)               // a truncated answer has no key either
	if (resp.Header.Get("WWW-Authenticate") == "Key") != (resp.StatusCode == 401) {
		c.t.Errorf("%s: %d names scheme %q", id, resp.StatusCode, resp.Header.Get("WWW-Authenticate"))
	}
	return resp.StatusCode
}

// header returns the headers of a request that a target got, nil if none did.
func (c *accountCluster) header(id string) http.Header {
	h, _ := c.seen.Load(id)
	out, _ := h.(http.Header)
	return out
}

func key(values ...string) http.Header { return http.Header{"Authorization": values} }

// with adds headers that callers must not set.
func with(h http.Header, names ...string) http.Header {
	for _, n := range names {
		h[n] = []string{"forged"}
	}
	return h
}

// Guards, over sockets, against requests that reach a target without a valid key, against
// targets that get a key or a name that the caller has set, and against keys or hashes
// of keys in logs, metrics, the status or answers. The subtests use one cluster, and the
// last one searches what all of them have left.
func TestAccounts(t *testing.T) {
	c := startAccountCluster(t, accountDocument(1, north1, north2))
	t.Run("refused", func(t *testing.T) { c.testRefused(is.New(t)) })
	t.Run("accepted", func(t *testing.T) { c.testAccepted(is.New(t), "any target") })
	t.Run("gate", func(t *testing.T) { c.testGate(is.New(t)) })
	t.Run("uploads", func(t *testing.T) { c.testUploads(is.New(t)) })
	// Only the target of the other process is left.
	c.plain[0].mu.Lock()
	c.plain[0].draining = true
	c.plain[0].mu.Unlock()
	await(t, "drain", func() bool {
		at, ok := c.plain[0].Agent().Target()
		return ok && !at.Accepts
	})
	t.Run("accepted over a hop", func(t *testing.T) {
		c.testAccepted(is.New(t), "hop")
		c.at.Range(func(id, at any) bool {
			is.New(t).True(!strings.HasPrefix(id.(string), "hop") || at == c.plain[1].name)
			return true
		})
	})
	t.Run("revoked", func(t *testing.T) { c.testRevoked(is.New(t)) })
	t.Run("secrets", func(t *testing.T) { c.testSecrets(is.New(t)) })
}

func (c *accountCluster) testRefused(is *is.I) {
	internal := http.Header{"Bq-Hop": {"plain;safe;0;;plain;2000;5000;1;false"}, "Bq-Account-Name": {"south"}, "X-Account": {"south"}}
	for id, r := range map[string]struct {
		path   string
		header http.Header
		want   int
	}{
		"no key": {"/safe/x", nil, 401}, "unknown key": {"/safe/x", key("Key " + unknown), 401},
		"two headers": {"/safe/x", key("Key "+south, "Key "+south), 401}, "two keys": {"/safe/x", key("Key " + south + " " + north1), 401},
		"two names":    {"/safe/x", http.Header{"Authorization": {"Key " + south}, "authorization": {"Key " + south}}, 401},
		"other scheme": {"/safe/x", key("Basic " + south), 401}, "empty key": {"/safe/x", key("Key "), 401}, "empty header": {"/safe/x", key(""), 401},
		"account and hop are set": {"/safe/x", internal, 401}, "public, unknown key": {"/public/x", key("Key " + unknown), 401},
		"no key of the key space": {"/keyed/x", nil, 401}, "only no key of the key space": {"/keyed/x", key("Key " + south), 400},
		"public, path of another route": {"/public/..%2fsafe/x", nil, 401}, "public, dot segments": {"/public/../safe/x", nil, 401},
		"no route": {"/none/", key("Key " + unknown), 404},
	} {
		is.Equal(c.send(c.plain[0].cfg.Sidecar.Caller, r.path, id, r.header), r.want) // id
		is.Equal(c.header(id), nil)                                                   // a target got it
	}
}

func (c *accountCluster) testAccepted(is *is.I, prefix string) {
	hidden := with(key("Key "+south), "X-Account", "Bq-Account-Name")
	hidden["Connection"] = []string{"X-Account, Authorization, Bq-Account-Name"}
	for name, r := range map[string]struct {
		path    string
		header  http.Header
		account []string
	}{
		"key":         {"/safe/x", with(key("key "+north2), "X-Account", "Bq-Account-Name", "Bq-Hop"), []string{"north"}},
		"public, key": {"/public/x", hidden, []string{"south"}},
		"public":      {"/public/x", with(http.Header{}, "X-Account", "Bq-Account-Name", "Bq-Hop"), nil},
	} {
		is.Equal(c.send(c.plain[0].cfg.Sidecar.Caller, r.path, prefix+name, r.header), 200)
		h := c.header(prefix + name)
		is.Equal(h.Values("X-Account"), r.account)
		is.Equal(len(h.Values("Authorization"))+len(h.Values("Bq-Account-Name"))+len(h.Values("Bq-Hop")), 0)
	}
}

// testGate acts as an ingress of an earlier version, which passes on what callers set.
func (c *accountCluster) testGate(is *is.I) {
	h := with(key("Key "+south), "X-Account")
	h.Set("Bq-Hop", "plain;safe;0;;plain;2000;5000;1;false")
	is.Equal(c.send(c.plain[0].cfg.Sidecar.Gate, "/safe/x", "old", h), 200)
	is.Equal(len(c.header("old").Values("X-Account"))+len(c.header("old").Values("Authorization")), 0)
	h.Set("Bq-Account-Name", "south")
	is.Equal(c.send(c.plain[0].cfg.Sidecar.Gate, "/safe/x", "new", h), 200)
	is.Equal(c.header("new").Values("X-Account"), []string{"south"})
}

// testUploads sends bodies that are read before and after the request is authorized.
func (c *accountCluster) testUploads(is *is.I) {
	for _, n := range []int64{100 << 10, 2 << 20} {
		for _, chunked := range []bool{false, true} {
			status, _ := c.plain[0].upload("upload", n, chunked)
			is.Equal(status, 401)
		}
	}
	is.Equal(c.header("upload"), nil)
}

// testRevoked changes keys while a connection is open.
func (c *accountCluster) testRevoked(is *is.I) {
	conn, err := net.Dial("tcp", c.plain[0].cfg.Sidecar.Caller)
	is.NoErr(err)
	defer func() { _ = conn.Close() }() // the test has ended
	answers := bufio.NewReader(io.TeeReader(conn, &c.answers))
	expect := func(status int, key string) {
		_, err := fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\nAuthorization: Key %s\r\n\r\n", key)
		is.NoErr(err)
		resp, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
	}
	expect(200, north1)
	expect(401, later)
	c.apply(accountDocument(2, north2, later))
	await(c.t, "new document", func() bool { return c.plain[0].Agent().View().Version() == 2 })
	expect(401, north1)
	expect(200, north2)
	expect(200, later)
	expect(400, later+"\x01")
}

func (c *accountCluster) testSecrets(is *is.I) {
	var shown bytes.Buffer
	metrics.WritePrometheus(&shown, false)
	var status fleetnode.Status
	is.NoErr(c.control.Leaders().CallLeader(c.t.Context(), fleetnode.MethodStatus, struct{}{}, &status))
	is.NoErr(json.NewEncoder(&shown).Encode(status))
	c.logs.mu.Lock()
	defer c.logs.mu.Unlock()
	places := map[string]string{"logs": c.logs.buf.String(), "metrics and status": shown.String(), "answers": c.answers.buf.String()}
	is.True(strings.Contains(places["logs"], `"account":"north"`)) // the lines of requests are there
	is.True(strings.Contains(places["logs"], string(routes.UnknownKey)))
	is.True(strings.Contains(places["metrics and status"], `account="north",result="admitted"`))
	for _, key := range []string{north1, north2, south, unknown, later} {
		h := routes.HashKey(key)
		list := strings.Trim(fmt.Sprint(h[:]), "[]")
		for _, form := range []string{key, hex.EncodeToString(h[:]), base64.RawStdEncoding.EncodeToString(h[:]), base64.RawURLEncoding.EncodeToString(h[:]),
			list, strings.ReplaceAll(list, " ", ","), base64.StdEncoding.EncodeToString([]byte(key))} {
			for place, text := range places {
				if i := strings.Index(text, form); i >= 0 {
					c.t.Errorf("%s show %q: %.300s", place, form, text[max(i-150, 0):])
				}
			}
		}
	}
}

// Guards against deployments without accounts whose targets no longer get the headers
// that callers send.
func TestNoAccountsChangeNoHeaders(t *testing.T) {
	is := is.New(t)
	c := startAccountCluster(t, document(1))
	for _, at := range c.plain {
		h := http.Header{"Authorization": {"Basic a", "Basic b"}, "X-Account": {"x"}, "Bq-Account-Name": {"y"}}
		is.Equal(c.send(at.cfg.Sidecar.Caller, "/safe/x", at.name, h), 200)
		got := c.header(at.name)
		is.Equal(got.Values("Authorization"), []string{"Basic a", "Basic b"})
		is.Equal([]string{got.Get("X-Account"), got.Get("Bq-Account-Name")}, []string{"x", ""})
	}
}
