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

// operatorCommands are the commands that act as operators do.
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

// applyID applies a file under a change id and requires the revision that the
// first try got: applyid ID BASE FILE REVISION.
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

// balanced waits until the largest load of a member over the mean of its service
// is at most the given ratio: balanced SERVICE RATIO.
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

// edit replaces the first occurrence of a text in a file.
func edit(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}

// exitCode requires a text in the output of the last command, which names the
// conflict; the exit code itself is checked by running bqctl in process.
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	code, _ := runBqctl(ts, "apply", ts.MkAbs("b.hujson"), "--yes", "--base", "1")
	if got := string(rune('0' + code)); got != args[0] {
		ts.Fatalf("exit code %s instead of %s", got, args[0])
	}
}

// runBqctl runs bqctl in this process and returns its exit code and output.
func runBqctl(ts *testscript.TestScript, args ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	// The parser reads variables of this process, not of the script.
	args = append(args, "--server="+ts.Getenv("BQ_SERVERS"), "--secret-file="+ts.Getenv("BQ_SECRET_FILE"))
	var out bytes.Buffer
	code := bqctl.Run(ctx, args, bqctl.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Getenv: ts.Getenv})
	ts.Logf("bqctl %s: exit code %d\n%s", args[0], code, out.String())
	return code, out.String()
}

// balanceTimeout bounds the wait for an even load: a unit that was moved stays where
// it is for a minute.
const balanceTimeout = 2 * time.Minute

// awaitStatus repeats f until it returns "" or patience ends.
func awaitStatus(ts *testscript.TestScript, f func(operator.Status) string) {
	awaitStatusWithin(ts, waitTimeout, f)
}

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

// pending waits for a pending action of a kind.
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

// approve approves every pending action of a kind.
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

// unserved requires that a service has units without owner, or waits until it
// has none: unserved SERVICE some|none.
func unserved(ts *testscript.TestScript, _ bool, args []string) {
	awaitStatus(ts, func(st operator.Status) string {
		for _, s := range st.Services {
			if s.Name != args[0] {
				continue
			}
			if (args[1] == "some") == (s.Unserved > 0) {
				return ""
			}
			return s.Name + " has not the expected number of unserved units"
		}
		return "no service " + args[0]
	})
}

// wipe removes a replica's data folder and makes an empty one.
func wipe(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	folder := s.cluster.DataFolder(s.node(ts, args[0]))
	ts.Check(os.RemoveAll(folder))
	ts.Check(os.Mkdir(folder, 0o700))
}

var newReplicaID = regexp.MustCompile(`bqctl control add (\S+)`)

// addReplica adds a replica under the new id that it logged and promotes it
// once it has caught up.
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
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if code, _ := runBqctl(ts, "control", "promote", id); code == 0 {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s was not promoted", id)
		}
	}
}

func removeReplica(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if code, _ := runBqctl(ts, "control", "remove", args[0]); code == 0 {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s was not removed", args[0])
		}
	}
}

// findProgram finds a program on the script's path.
func findProgram(ts *testscript.TestScript, name string) string {
	for dir := range strings.SplitSeq(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		if path, err := exec.LookPath(dir + "/" + name); err == nil {
			return path
		}
	}
	ts.Fatalf("program %s is not on the path", name)
	return ""
}
