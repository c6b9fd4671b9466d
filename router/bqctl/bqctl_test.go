package bqctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/operator/controlfake"
	"bramleyquay.example/router/settings"
)

const (
	secretText    = "a secret of the test cluster"
	firstDocument = `{
  "dataCentres": [{"name": "m1"}, {"name": "m2"}],
  "services": [{"name": "catalogue", "keyed": true, "dataCentres": ["m1", "m2"]}],
  "automation": {"rebalance": true, "hotKeys": true, "failover": true, "replicaReplacement": true, "ejection": true, "repeats": true}
}
`
)

var secondDocument = strings.Replace(firstDocument, `"keyed": true`, `"keyed": true, "shards": 128`, 1)

// cluster is an operator listener in front of a fake control group.
type cluster struct {
	t       *testing.T
	control *controlfake.Control
	folder  string
	servers []string
	// losingAnswers makes the listener execute a POST, except for a preview, and
	// then close the connection without an answer.
	losingAnswers atomic.Bool
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, control: controlfake.New(firstDocument), folder: t.TempDir()}
	handler := operator.Handler(c.control, operator.Auth{Secret: settings.NewSecret(secretText)}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.losingAnswers.Load() && r.Method == http.MethodPost && r.URL.Path != "/api/v1/preview" {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c.servers = []string{server.URL}
	c.write("secret", secretText+"\n")
	return c
}

func (c *cluster) write(name, text string) string {
	path := filepath.Join(c.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// run returns the exit code and everything that was printed.
func (c *cluster) run(stdin string, args ...string) (int, string) {
	return c.runWith(context.Background(), strings.NewReader(stdin), args...)
}

func (c *cluster) runWith(ctx context.Context, stdin io.Reader, args ...string) (int, string) {
	var out bytes.Buffer
	all := append([]string{"--server", strings.Join(c.servers, ","), "--secret-file", filepath.Join(c.folder, "secret"),
		"--state-file", filepath.Join(c.folder, "state", "pending.json"), "--author", "ana"}, args...)
	code := Run(ctx, all, Env{Stdin: stdin, Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }})
	return code, out.String()
}

// want checks the exit code and that the output contains text.
func (c *cluster) want(code int, text, stdin string, args ...string) {
	c.t.Helper()
	got, out := c.run(stdin, args...)
	if got != code || !strings.Contains(out, text) {
		c.t.Errorf("bqctl %q: want exit code %d and %q, got %d and:\n%s", args, code, text, got, out)
	}
}

// Guards against a result that gets another exit code than the one that the
// help gives for it: scripts rely on them.
func TestExitCodes(t *testing.T) {
	c := newCluster(t)
	bad := c.write("bad.json", strings.Replace(firstDocument, `"m1", "m2"]`, `"m1", "m9"]`, 1))
	good := c.write("good.json", firstDocument)
	c.want(0, "Exit codes:", "", "--help")
	c.want(0, "bqctl ", "", "--version")
	c.want(2, "unknown flag", "", "status", "--fast")
	c.want(0, "the document can be applied", "", "validate", good)
	c.want(2, bad+`:3:75: services[0].dataCentres[1]: data centre "m9" is not defined`, "", "validate", bad)
	c.want(2, `"path":"services[0].dataCentres[1]"`, "", "validate", "--json", bad)
	c.want(2, "no such file", "", "apply", "none.json")
	c.want(0, "nothing to change: revision 1 already is this document", "", "apply", good)
	c.want(2, "there is no revision 7", "", "rollback", "7")
	c.want(2, "is not service/shard", "", "move", "catalogue", "n1")
	c.control.SetFail(&operator.Error{Code: operator.CodeUnsafe, Text: "the group would lose its quorum"})
	c.want(4, "would lose its quorum\nbqctl: nothing was changed", "", "control", "remove", "c1")
	c.control.SetFail(&operator.Error{Code: operator.CodeUnsafe, Text: "the group would lose its quorum"})
	c.want(4, `{"error":{"code":"unsafe","text":"the group would lose its quorum"},"exitCode":4}`, "", "--json", "control", "remove", "c1")
	c.write("secret", "another secret of a cluster")
	c.want(1, "does not carry a token", "", "status")
	c.write("secret", "short")
	c.want(2, "fewer than 16 characters", "", "status")
}

// Guards against a change that is applied without a confirmation, or although
// another change came first, and against a rollback to another text.
func TestApplyShowsTheDifferenceAndAsks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.control.Moved = 3
	file := c.write("second.json", secondDocument)
	for _, answer := range []string{"n\n", "\n", "maybe\n"} {
		c.want(1, "not confirmed; nothing was changed", answer, "apply", file)
	}
	c.want(2, "give --yes", "", "apply", file)
	revision, _ := c.control.Newest()
	is.Equal(revision, uint64(1))
	code, out := c.run("y\n", "apply", file)
	is.Equal(code, 0)
	for _, text := range []string{`+      "shards": 128`, "moves 3 units, 25.0 % of all units", "revision 2 is accepted"} {
		is.True(strings.Contains(out, text))
	}
	c.want(3, "ana has saved revision 2; nothing was changed", "", "apply", c.write("third.json", firstDocument), "--yes", "--base", "1")
	c.want(0, "revision 3 is accepted", "", "rollback", "1", "--yes")
	_, text := c.control.Newest()
	is.Equal(text, firstDocument)
	c.want(0, `"revision":3,"author":"ana"`, "", "history", "--json")
	c.want(0, `"shards": 128`, "", "document", "2")
}

// Guards against a confirmation that cannot be interrupted, and against a
// change that fails because the operator takes longer than --timeout to confirm.
func TestConfirmationHasNoTimeout(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	file := c.write("second.json", secondDocument)
	in, out := io.Pipe()
	const timeout = 300 * time.Millisecond
	go func() {
		time.Sleep(2 * timeout)
		_, _ = out.Write([]byte("y\n"))
	}()
	code, text := c.runWith(context.Background(), in, "--timeout", timeout.String(), "apply", file)
	is.Equal(code, 0)
	is.True(strings.Contains(text, "revision 2 is accepted"))

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(timeout, cancel)
	in, out = io.Pipe()
	defer func() { _ = out.Close() }()
	code, text = c.runWith(ctx, in, "apply", c.write("third.json", firstDocument))
	is.Equal(code, 1)
	is.True(strings.Contains(text, "interrupted; nothing was changed"))
}

// Guards against a change that is made twice because the command was given
// again after a lost answer, and against a new command that is sent under the id
// of an earlier one and is answered as done already.
func TestLostAnswerIsResentAsTheSameChange(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	file := c.write("second.json", secondDocument)
	c.losingAnswers.Store(true)
	c.want(1, "give the same command again, it is sent as the same change", "y\n", "apply", file)
	c.losingAnswers.Store(false)
	c.want(0, "revision 2 is accepted", "", "apply", file) // without another confirmation
	revision, _ := c.control.Newest()
	is.Equal(revision, uint64(2))

	c.losingAnswers.Store(true)
	c.want(1, "not known whether", "", "drain", "data-centre", "m1")
	c.losingAnswers.Store(false)
	c.want(0, "nothing left to do", "", "drain", "data-centre", "m1")
	is.Equal(len(c.control.Actions()), 1)

	c.losingAnswers.Store(true)
	c.want(1, "not known whether", "", "drain", "data-centre", "m2")
	c.losingAnswers.Store(false)
	c.want(0, "back in service", "", "return", "data-centre", "m2")
	c.want(0, "dataCentre m2 is being drained.\n", "", "drain", "data-centre", "m2")
	is.Equal(len(c.control.Actions()), 4)
	state, err := os.ReadFile(filepath.Join(c.folder, "state", "pending.json"))
	is.NoErr(err)
	is.Equal(string(state), "{}\n") // every answer is known
}

// Guards against a command that fails although another server could answer.
func TestServersAreTriedInOrder(t *testing.T) {
	c := newCluster(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := closed.Addr().String()
	_ = closed.Close()
	leader := strings.TrimPrefix(c.servers[0], "http://")
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_ = json.NewEncoder(w).Encode(operator.Error{Code: operator.CodeNotLeader, Text: "not leader", Leader: leader})
	}))
	defer follower.Close()
	c.servers = []string{unreachable, c.servers[0]}
	c.want(0, "leader none", "", "status")
	c.servers = []string{follower.URL}
	c.want(0, "dataCentre m1 is being drained.", "", "drain", "dataCentre", "m1")
	c.servers = []string{unreachable}
	c.want(1, "no answer from http://"+unreachable, "", "status")
	c.servers = []string{"m1"}
	c.want(2, "is not an operator address", "", "status")
}

// Guards against output that misses a part of the state, and against control
// sequences of remote texts on the terminal.
func TestOutput(t *testing.T) {
	c := newCluster(t)
	c.control.State = operator.Status{
		Cluster: "muscat", Leader: "c1",
		Replicas:    []operator.ReplicaStatus{{ID: "c1", Voter: true, Position: 41}, {ID: "c2"}},
		Members:     []operator.MemberStatus{{ID: "n1\x1b[2J", State: "active", Ramping: true, LeaseRemainingMs: 731}},
		DataCentres: []operator.DataCentreStatus{{Name: "m1", Drained: true}},
		Services:    []operator.ServiceStatus{{Name: "catalogue", LongestGapMs: 1300}},
		Moves:       []operator.MoveStatus{{Unit: "catalogue/3", From: "n1", To: "n2"}},
		Pending:     []operator.PendingAction{{ID: "p1", Action: "failover", Text: "n9 is lost"}},
	}
	code, out := c.run("", "status")
	for _, text := range []string{"leader c1", "41", "learner", "n1�[2J", "active, ramping", "731 ms", "drained", "1300 ms", "catalogue/3", "n9 is lost"} {
		if code != 0 || !strings.Contains(out, text) {
			t.Errorf("status does not show %q:\n%s", text, out)
		}
	}
	c.want(0, clearScreen+"cluster muscat", "", "watch", "--count", "2", "--interval", "1ms")
	c.want(0, `"cluster":"muscat"`, "", "status", "--json")
	c.want(0, "n9 is lost", "", "automation", "list")
	c.want(0, "Recorded.", "", "automation", "off")
	c.want(2, "must be one of", "", "automation", "off", "everything")
	c.want(0, "Recorded.", "", "automation", "approve", "p1")
	c.want(0, `{"member":"n1"}`, "", "dump", "n1")
	c.want(0, "unit of its own", "", "split", "catalogue", "some key")
	c.want(0, "back in its shard", "", "merge", "catalogue/3/00000000000000ff")
	c.want(0, "group has changed", "", "control", "add", "c4", "127.0.0.1:7001")
}
