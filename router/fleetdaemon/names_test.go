package fleetdaemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/logging"
)

// Guards against requests that are never served, because the name of their route, of their
// service or of the caller's service has characters, or a length, that a header between
// processes, a header to a target, a log line or a metric does not carry as they are.
func TestNamesOfAnyCharacters(t *testing.T) {
	const service = `plain;ü%3B"\{}=,`
	caller := "ö, " + strings.Repeat("%;", (routes.MaxNameBytes-4)/2)
	logs := &collected{}
	c := newLoggingCluster(t, func() *log.Logger { return logging.New(logs, "info", false) })
	d := document(1)
	d.Services = []routes.Service{{Name: "keyed", Sharded: true}, {Name: service}}
	d.Routes = nil
	names := []string{"r;2", "a\r\nX-Y: 1", "\x00\x1b[2J", " %3B ", "r\u0085ü", strings.Repeat(";", routes.MaxNameBytes)}
	for i, name := range names {
		d.Routes = append(d.Routes, routes.Route{Name: name, Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: routes.Idempotent, Destinations: []routes.WeightedService{{Service: service, Weight: 1}}})
	}
	is.New(t).Equal(len(d.Validate()), 0)
	c.apply(d)
	c.addMember("p1", service)
	via := c.addMember("o1", caller)
	for i, name := range names {
		t.Run(fmt.Sprintf("%.9q", name), func(t *testing.T) {
			is := is.New(t)
			id, path := fmt.Sprint("id", i), fmt.Sprintf("/%d/x", i)
			header := map[string]string{"X-Padding": strings.Repeat("x", 63<<10)}
			var status int
			var body string
			for end := time.Now().Add(waitTimeout / 6); status != http.StatusOK && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				status, body, _ = via.call("GET", path, id, header)
			}
			is.Equal(status, http.StatusOK)
			is.Equal(body, "p1 ran "+path+" for "+caller)
			await(t, "log line of the gate", func() bool { return logsRoute(logs.String(), id, name) })
		})
	}
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	is.New(t).True(strings.Contains(text.String(), `bramleyquay_request_seconds_count{service="plain;ü%3B\"\\{}=,",class="2xx"} `))
}

// logsRoute reports whether the gate has logged the request with a route.
func logsRoute(logs, id, route string) bool {
	for line := range strings.Lines(logs) {
		var l struct{ Part, Request, Route string }
		if json.Unmarshal([]byte(line), &l) == nil && l.Part == "gate" && l.Request == id && l.Route == route {
			return true
		}
	}
	return false
}

// Guards against an answer to a request that a gate cannot read, or has not read, which
// leaves open whether it ran, and against one that no process can attribute to it.
func TestUnreadableRequestsOfPeersHaveNotRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	gate := c.addMember("p1", "plain").cfg.Sidecar.Gate
	for head, want := range map[string]string{
		"X-Id: i\r\nBq-Hop: a;b;r;0;;c;0;0;1;false\r\n":                                               "X-Id: i\r\n",
		"X-Id: i\r\nBq-Hop: a%zz;r;0;;c;0;0;1;false\r\nBq-Hop: percent-encoded=service\r\n":           "X-Id: i\r\n",
		"X-Id: i\r\nBq-Hop: a;r;0;;c;0;0;1;false\r\nBq-Hop: percent-encoded=a-name-of-the-future\r\n": "X-Id: i\r\n",
		"Bq-Hop: " + strings.Repeat("x", 512<<10) + "\r\n":                                            "Bq-Unread: 1\r\n",
		"X-A\x00: 1\r\n": "Bq-Unread: 1\r\n",
	} {
		conn, err := net.Dial("tcp", gate)
		is.NoErr(err)
		_, _ = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n", head) // the end of a long head is not read
		is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		answer, _ := io.ReadAll(conn) // the connection may be reset after the answer
		is.NoErr(conn.Close())
		if !strings.Contains(string(answer), "\r\nBq-Hop: not-run;") || !strings.Contains(string(answer), "\r\n"+want) {
			t.Errorf("%.80q was answered with %q", head, answer)
		}
	}
}

// Guards against a notice of a target that stops under an id that no target can have, which
// would be stored in the replicated log.
func TestLeavingUnderMalformedID(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	member := c.addMember("p1", "plain")
	for _, id := range []string{"", strings.Repeat("x", 257), "a\nb", "\xff", " a"} {
		is.True(member.Agent().TargetLeaving(t.Context(), fleet.Notice{Target: id}) != nil)
	}
	is.Equal(c.apply(document(1)).Status, fleet.Accepted)
}
