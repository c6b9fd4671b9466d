package scenario

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bramleyquay.example/router/bqctl"
	"bramleyquay.example/router/operator"
)

// operatorCommands returns the script commands that carry out or check actions of
// operators, by name.
func operatorCommands() map[string]command {
	return map[string]command{
		"applyid":       applyID,
		"balanced":      balanced,
		"quiet":         quiet,
		"changes":       changes,
		"caughtup":      caughtUp,
		"moveshard":     moveShard,
		"movekey":       moveKey,
		"mergekey":      mergeKey,
		"repeatcrash":   repeatCrash,
		"edit":          edit,
		"exitcode":      exitCode,
		"pending":       pending,
		"approve":       approve,
		"unserved":      unserved,
		"wipe":          wipe,
		"addreplica":    addReplica,
		"removereplica": removeReplica,
	}
}

// applyID applies a file under a change id and requires the given revision, so that
// a retry with the same id can be checked: applyid ID BASE FILE REVISION.
func applyID(ts *testscript.TestScript, _ bool, args []string) {
	base, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	reply, err := stateOf(ts).cluster.Apply(ctx, base, args[0], ts.ReadFile(args[2]))
	ts.Check(err)
	if got := strconv.FormatUint(reply.Revision, 10); got != args[3] {
		ts.Fatalf("revision %s instead of %s: %+v", got, args[3], reply)
	}
}

// balanced waits until the largest request rate of a member, divided by the mean of
// its service, is at most the given ratio: balanced SERVICE RATIO.
func balanced(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	begin := time.Now()
	awaitStatusWithin(ts, balanceTimeout, func(st operator.Status) string {
		total, members, largest := 0.0, 0.0, 0.0
		for _, m := range st.Members {
			if m.Service == args[0] && m.State == "active" {
				total, members, largest = total+m.Load.Rate, members+1, max(largest, m.Load.Rate)
			}
		}
		ratio := largest * members / max(total, 1)
		if total > 0 && ratio <= limit {
			return ""
		}
		return fmt.Sprintf("largest over mean is %.2f with %.0f requests/s on %.0f members", ratio, total, members)
	})
	ts.Logf("%s was balanced after %s", args[0], time.Since(begin).Round(100*time.Millisecond))
}

// edit replaces the first occurrence of a text in a file: edit FILE OLD NEW.
func edit(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}

// exitCode applies b.hujson to base revision 1 and requires the given exit code of
// bqctl. It runs bqctl in this process, because exec only distinguishes success from
// failure: exitcode CODE.
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	code, _ := runBqctl(ts, "apply", ts.MkAbs("b.hujson"), "--yes", "--base", "1")
	if got := string(rune('0' + code)); got != args[0] {
		ts.Fatalf("exit code %s instead of %s", got, args[0])
	}
}

// runBqctl runs bqctl in this process and returns its exit code and its output on
// stdout and stderr.
func runBqctl(ts *testscript.TestScript, args ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	// bqctl's argument parser reads the environment of this process, not that of the
	// script.
	args = append(args, "--server="+ts.Getenv("BQ_SERVERS"), "--secret-file="+ts.Getenv("BQ_SECRET_FILE"))
	var out bytes.Buffer
	code := bqctl.Run(ctx, args, bqctl.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Getenv: ts.Getenv})
	ts.Logf("bqctl %s: exit code %d\n%s", args[0], code, out.String())
	return code, out.String()
}

// balanceTimeout bounds the wait for an even load. The rebalancer does not move a
// unit again within a minute of its last move.
const balanceTimeout = 2 * time.Minute

// awaitStatus polls the status of the cluster until f returns "". After waitTimeout
// it fails with the last text that f returned.
func awaitStatus(ts *testscript.TestScript, f func(operator.Status) string) {
	awaitStatusWithin(ts, waitTimeout, f)
}

// awaitStatusWithin is awaitStatus with the given time limit.
func awaitStatusWithin(ts *testscript.TestScript, limit time.Duration, f func(operator.Status) string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	why := ""
	for ctx.Err() == nil {
		st, err := stateOf(ts).cluster.Status(ctx)
		ts.Check(err)
		if why = f(st); why == "" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s", why)
}

// pending waits until an automatic action awaits approval: pending ACTION.
func pending(ts *testscript.TestScript, _ bool, args []string) {
	awaitStatus(ts, func(st operator.Status) string {
		for _, p := range st.Pending {
			if string(p.Action) == args[0] {
				return ""
			}
		}
		return "no pending action " + args[0]
	})
}

// approve approves all pending automatic actions of a kind: approve ACTION.
func approve(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	st, err := stateOf(ts).cluster.Status(ctx)
	ts.Check(err)
	for _, p := range st.Pending {
		if string(p.Action) == args[0] {
			if code, out := runBqctl(ts, "automation", "approve", p.ID); code != 0 {
				ts.Fatalf("approval failed: %s", out)
			}
		}
	}
}

// unserved waits until a service has some units without owner, or none: unserved
// SERVICE some|none.
func unserved(ts *testscript.TestScript, _ bool, args []string) {
	awaitStatus(ts, func(st operator.Status) string {
		for _, s := range st.Services {
			if s.Name != args[0] {
				continue
			}
			if (args[1] == "some") == (s.Unserved > 0) {
				return ""
			}
			return s.Name + " does not have the expected number of unserved units"
		}
		return "no service " + args[0]
	})
}

// wipe replaces a control replica's data folder by an empty one: wipe REPLICA.
func wipe(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	folder := s.cluster.DataFolder(s.node(ts, args[0]))
	ts.Check(os.RemoveAll(folder))
	ts.Check(os.Mkdir(folder, 0o700))
}

var newReplicaID = regexp.MustCompile(`bqctl control add (\S+)`)

// addReplica adds a replica with an empty data folder under the new id that it
// logged, and promotes it to a voter once it has caught up: addreplica REPLICA.
func addReplica(ts *testscript.TestScript, _ bool, args []string) {
	n := stateOf(ts).node(ts, args[0])
	found := newReplicaID.FindAllStringSubmatch(n.Daemon.Log(), -1)
	if len(found) == 0 {
		ts.Fatalf("%s logged no new id", n.ID)
	}
	id := found[len(found)-1][1]
	if code, out := runBqctl(ts, "control", "add", id, n.Peer); code != 0 {
		ts.Fatalf("adding failed: %s", out)
	}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if code, _ := runBqctl(ts, "control", "promote", id); code == 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s was not promoted", id)
		}
	}
}

// removeReplica removes a replica from the control group, with retries until it is
// allowed: removereplica REPLICA.
func removeReplica(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if code, _ := runBqctl(ts, "control", "remove", args[0]); code == 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s was not removed", args[0])
		}
	}
}

// findProgram returns the path of a program on the script's PATH.
func findProgram(ts *testscript.TestScript, name string) string {
	for dir := range strings.SplitSeq(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		if path, err := exec.LookPath(dir + "/" + name); err == nil {
			return path
		}
	}
	ts.Fatalf("program %s is not on PATH", name)
	return ""
}
