package fleetdaemon_test

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/logging"
)

// collected is a writer that keeps what several processes write.
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

// formsOfKey returns the texts by which a key or its hash could be shown.
func formsOfKey(key string) []string {
	h := routes.HashKey(key)
	decimal := fmt.Sprint(h[:])
	return []string{key, hex.EncodeToString(h[:]), base64.RawStdEncoding.EncodeToString(h[:]), base64.RawURLEncoding.EncodeToString(h[:]),
		decimal[1 : len(decimal)-1], strings.ReplaceAll(decimal[1:len(decimal)-1], " ", ","), base64.StdEncoding.EncodeToString([]byte(key))}
}

// exchange sends bytes to the listener for callers and returns all that it answers.
func (t *target) exchange(text string) (string, error) {
	conn, err := net.Dial("tcp", t.cfg.Sidecar.Caller)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // only read
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// Guards against a key, or the hash of one, in the logs of any process, in the metrics,
// in the state that operators can print, or in an answer to a caller.
func TestNoKeyIsShown(t *testing.T) {
	is := is.New(t)
	logs := &collected{}
	c := newLoggingCluster(t, func() *log.Logger { return logging.New(logs, "trace", false) })
	valid, revoked, unknown, malformed := "k3y-valid-7f31", "k3y-revoked-90ab", "k3y-unknown-c4d2", "k3y-malformed-5e66"
	first := accountDocument(1)
	first.Accounts[0].KeyHashes = routes.HashKeys([]string{valid, revoked})
	c.applyText(first, fmt.Sprintf(`{"keys": [%q, %q]}`, valid, revoked))
	plain := [2]*target{c.addMember("n1", "plain"), c.addMember("n2", "plain")}
	recordRequests(plain[:]...)
	ready := func(version uint64) {
		await(t, "document", func() bool {
			for _, p := range plain {
				if status, _ := p.callWith(p.cfg.Sidecar.Caller, "/public/x", "w", nil); status != 200 || p.Agent().View().Version() != version || len(p.Agent().View().Members) != 2 {
					return false
				}
			}
			return true
		})
	}
	ready(1)
	second := accountDocument(2)
	second.Accounts[0].KeyHashes = routes.HashKeys([]string{valid})
	c.applyText(second, fmt.Sprintf(`{"keys": [%q]}`, valid))
	ready(2)
	plain[1].mu.Lock()
	plain[1].draining = true // requests to this process take a hop
	plain[1].mu.Unlock()
	var answers strings.Builder
	statuses := map[string]int{}
	for _, p := range plain {
		for i, header := range []string{
			"Authorization: Key " + valid, "Authorization: Key " + revoked, "Authorization: Key " + unknown,
			"Authorization: Basic " + valid, "Authorization: Key " + valid + "\r\nAuthorization: Key " + unknown,
			"Authorization: Key " + malformed + " " + valid, "Authorization: Key " + malformed + "\x01", "Authorization\r\n : " + malformed,
			"Authorization: Key " + valid + "\r\nX-Account: forged",
		} {
			answer, err := p.exchange(fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: s%d\r\nConnection: close\r\n%s\r\n\r\n", i, header))
			is.NoErr(err)
			is.True(len(answer) > 12)
			statuses[answer[9:12]]++
			answers.WriteString(answer)
		}
	}
	is.Equal(statuses, map[string]int{"200": 4, "401": 10, "400": 4})
	var shown bytes.Buffer
	metrics.WritePrometheus(&shown, false)
	var status fleetnode.Status
	is.NoErr(c.control.Leaders().CallLeader(t.Context(), fleetnode.MethodStatus, struct{}{}, &status))
	is.NoErr(json.NewEncoder(&shown).Encode(status))
	is.True(strings.Contains(shown.String(), `account="north",result="admitted"`))
	is.True(strings.Contains(logs.String(), `"account":"north"`)) // the lines of requests are there
	is.True(strings.Contains(logs.String(), string(routes.UnknownKey)))
	for _, key := range []string{valid, revoked, unknown, malformed} {
		for _, form := range formsOfKey(key) {
			for place, text := range map[string]string{"logs": logs.String(), "metrics and status": shown.String(), "answers": answers.String()} {
				if i := strings.Index(text, form); i >= 0 {
					t.Errorf("%s show %q: %.300s", place, form, text[max(i-150, 0):])
				}
			}
		}
	}
}

// applyText applies a document with the text of its author.
func (c *cluster) applyText(d *routes.Document, text string) {
	c.t.Helper()
	var result fleet.Result
	change := &fleet.ApplyDocument{ChangeID: fmt.Sprint(d.Version), BaseVersion: d.Version - 1, Document: d, Text: []byte(text)}
	if err := c.control.Leaders().CallLeader(c.t.Context(), fleetnode.MethodPropose, fleetnode.ProposeRequest{ApplyDocument: change}, &result); err != nil || result.Status != fleet.Accepted {
		c.t.Fatal(result, err)
	}
}
