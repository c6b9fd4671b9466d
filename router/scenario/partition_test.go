package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/standin"
)

// quiet requires that a node's target starts no request for a time: quiet NODE TIME.
func quiet(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	n := stateOf(ts).node(ts, args[0])
	before := startedRequests(ts, n)
	time.Sleep(d)
	if after := startedRequests(ts, n); after != before {
		ts.Fatalf("the target of %s ran %d requests", n.ID, after-before)
	}
}

// startedRequests returns the number of requests that a node's target has started to
// run.
func startedRequests(ts *testscript.TestScript, n *harness.Node) int {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	d, err := n.Dump(ctx)
	ts.Check(err)
	resp, err := http.Get("http://" + d.Gate.Target.Address + "/standin/stats")
	ts.Check(err)
	defer resp.Body.Close()
	var st standin.Stats
	ts.Check(json.NewDecoder(resp.Body).Decode(&st))
	return st.Served
}

// changes applies COUNT changed documents, one after the other, and requires
// consecutive revisions: changes COUNT.
func changes(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	text, err := os.ReadFile(filepath.Join(ts.Getenv("EXAMPLES"), "muscat", "document.hujson"))
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for i := range count {
		next := strings.Replace(string(text), `"queue": 64`, fmt.Sprintf(`"queue": %d`, 65+i), 1)
		reply, err := stateOf(ts).cluster.Apply(ctx, uint64(i+1), fmt.Sprintf("change-%d", i), next)
		ts.Check(err)
		if reply.Revision != uint64(i+2) {
			ts.Fatalf("change %d got %+v", i, reply)
		}
	}
}

// caughtUp waits until every control replica is reachable and has the whole log of
// the leader.
func caughtUp(ts *testscript.TestScript, _ bool, _ []string) {
	awaitStatus(ts, func(st operator.Status) string {
		for _, r := range st.Replicas {
			if r.Behind > 0 || !r.Reachable {
				return fmt.Sprintf("replica %s is %d entries behind", r.ID, r.Behind)
			}
		}
		return ""
	})
}
