package scenario

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/operator"
)

type command = func(*testscript.TestScript, bool, []string)

// commands returns the script commands that start clusters and load, inject faults
// and check results, by name.
func commands() map[string]command {
	return map[string]command{
		"cluster":      func(ts *testscript.TestScript, _ bool, args []string) { stateOf(ts).start(ts, args) },
		"load":         load,
		"sleep":        sleep,
		"crash":        onNodes(func(s *state, n *harness.Node) { s.setDown(n.ID, true); n.Daemon.Kill() }),
		"freeze":       onNodes(func(s *state, n *harness.Node) { s.setDown(n.ID, true); n.Daemon.Freeze() }),
		"crashtarget":  onNodes(func(s *state, n *harness.Node) { n.Target.Kill() }),
		"freezetarget": onNodes(func(s *state, n *harness.Node) { n.Target.Freeze() }),
		"resumetarget": onNodes(func(s *state, n *harness.Node) { n.Target.Resume() }),
		"starttarget":  onNodes(func(s *state, n *harness.Node) { _ = n.Target.Start() }),
		"resume":       onNodes(func(s *state, n *harness.Node) { n.Daemon.Resume(); s.setDown(n.ID, false) }),
		"cut":          cut,
		"heal":         onNodes(func(s *state, n *harness.Node) { n.HealControl() }),
		"restart":      restart,
		"terminate":    terminate,
		"drain":        drain(true),
		"return":       drain(false),
		"serving":      serving,
		"maxgap":       maxGap,
		"resetgaps":    func(ts *testscript.TestScript, _ bool, _ []string) { stateOf(ts).resetGaps() },
		"nocut":        noCut,
		"payments":     payments,
		"logged":       logged,
		"oneowner":     oneOwner,
		"empty":        empty,
		"revisions":    revisions,
	}
}

// load starts the named loads, keyed (service catalogue), payments (enrolment) or any
// (learners), and waits so long that every key is requested:
// load [keyed|payments|any]...
func load(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	kinds := map[string]*harness.Load{
		"keyed":    {Service: "catalogue", Keyed: true, Callers: 24, Pause: 10 * time.Millisecond},
		"payments": {Service: "enrolment", Payments: true, Callers: 8, Pause: 20 * time.Millisecond},
		"any":      {Service: "learners", Callers: 8, Pause: 20 * time.Millisecond},
	}
	for _, kind := range args {
		l := kinds[kind]
		if l == nil {
			ts.Fatalf("unknown load %s", kind)
		}
		l.PickAddress, l.Timeout = s.pickAddress, 5*time.Second
		s.loads[kind] = l
		l.Start()
	}
	time.Sleep(500 * time.Millisecond) // every key has been requested
}

func sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// onNodes returns a command that applies f to each named node. It resolves all
// names first, so that several nodes fail at the same moment.
func onNodes(f func(*state, *harness.Node)) command {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := stateOf(ts)
		var nodes []*harness.Node
		for _, name := range args {
			nodes = append(nodes, s.node(ts, name))
		}
		for _, n := range nodes {
			ts.Logf("node %s", n.ID)
			f(s, n)
		}
	}
}

// cut drops the traffic between nodes and the control replicas in both directions,
// to control (there) or from control (back): cut both|there|back NODE...
func cut(ts *testscript.TestScript, _ bool, args []string) {
	there, back := args[0] != "back", args[0] != "there"
	onNodes(func(_ *state, n *harness.Node) { n.CutControl(there, back) })(ts, false, args[1:])
}

// restart starts a process again, after killing it if it runs; "restart down"
// starts all processes that have exited.
func restart(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	for _, n := range s.cluster.All() {
		if args[0] == "down" && n.Daemon.Running() || args[0] != "down" && n.ID != args[0] {
			continue
		}
		n.Daemon.Kill()
		ts.Check(n.Daemon.Start())
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		ts.Check(n.AwaitReady(ctx))
		s.setDown(n.ID, false)
	}
}

// terminate shuts nodes down gracefully with SIGTERM, one after the other, and
// requires exit code 0.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	for _, name := range args {
		n := s.node(ts, name)
		s.setDown(n.ID, true)
		if code := n.Daemon.Terminate(waitTimeout); code != 0 {
			ts.Fatalf("%s ended with code %d; log:\n%s", n.ID, code, lastLines(n.Daemon.Log()))
		}
	}
}

// lastLines returns the last 20 lines of a log.
func lastLines(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(len(lines)-20, 0):], "\n")
}

// drain returns the command that takes something out of service (on) or returns it
// to service: drain SCOPE NAME.
func drain(on bool) command {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		ts.Check(stateOf(ts).cluster.Drain(ctx, operator.Scope(args[0]), args[1], on))
	}
}

// serving waits until every unit is served, at least the given number of targets, by
// default all, are active, and all members have applied the newest configuration:
// serving [COUNT].
func serving(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	want := len(s.cluster.Nodes)
	if len(args) > 0 {
		n, err := strconv.Atoi(args[0])
		ts.Check(err)
		want = n
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(s.cluster.AwaitServingTargets(ctx, want))
}

// maxGap requires that since the last resetgaps no key was unserved for longer than
// the limit, and that no caller ever got the answer of another request: maxgap 2s.
func maxGap(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	for kind, l := range stateOf(ts).loads {
		unserved := l.LongestUnserved()
		ts.Logf("%s: unserved for at most %s, %+v", kind, unserved.Round(time.Millisecond), l.Counts())
		if unserved > limit {
			ts.Fatalf("%s was unserved for %s, limit %s", kind, unserved, limit)
		}
		if len(l.MismatchedAnswers()) > 0 {
			ts.Fatalf("%s got answers of other requests: %v", kind, l.MismatchedAnswers()[0])
		}
	}
}

// resetGaps restarts the measurement of the unserved time: resetgaps.
func (s *state) resetGaps() {
	for _, l := range s.loads {
		l.ResetUnserved()
	}
}

// noCut requires that every request so far was served, none refused, aborted or lost.
// It has nothing to do with the partitions that command cut makes: nocut.
func noCut(ts *testscript.TestScript, _ bool, _ []string) {
	for kind, l := range stateOf(ts).loads {
		if n := l.Counts(); n.NotRun+n.Unknown+n.Unanswered > 0 {
			ts.Fatalf("%s: not every request was served: %+v", kind, n)
		}
	}
}

// payments stops the load of payments and requires that payments ran, none ran twice
// and every confirmed payment ran.
func payments(ts *testscript.TestScript, _ bool, _ []string) {
	s := stateOf(ts)
	l := s.loads["payments"]
	l.Stop()
	runs, err := s.cluster.Runs()
	ts.Check(err)
	twice, missing := harness.CheckPayments(runs, l.ConfirmedPayments())
	ts.Logf("%d payments ran; %+v", len(runs), l.Counts())
	if len(runs) == 0 || twice > 0 || missing > 0 {
		ts.Fatalf("%d payments ran, %d more than once, %d confirmed without a run", len(runs), twice, missing)
	}
}

// oneOwner requires that no two targets ran requests for one catalogue key at the
// same time.
func oneOwner(ts *testscript.TestScript, _ bool, _ []string) {
	list, err := stateOf(ts).cluster.Intervals("catalogue")
	ts.Check(err)
	ts.Logf("%d intervals of keyed requests", len(list))
	if len(list) == 0 {
		ts.Fatalf("no intervals were recorded")
	}
	if a, b, found := harness.Overlap(list); found {
		ts.Fatalf("two owners: %+v and %+v", a, b)
	}
}

// logged waits until a node's log, of all its starts, contains a text, or with !
// requires that it does not contain it now: logged NODE TEXT.
func logged(ts *testscript.TestScript, neg bool, args []string) {
	n := stateOf(ts).node(ts, args[0])
	text := strings.Join(args[1:], " ")
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		found := strings.Contains(n.Daemon.Log(), text)
		switch {
		case found && neg:
			ts.Fatalf("%s logged %q", n.ID, text)
		case found || neg:
			return
		case time.Now().After(deadline):
			ts.Fatalf("%s did not log %q; log:\n%s", n.ID, text, lastLines(n.Daemon.Log()))
		}
	}
}

// empty requires that within the limit a data centre owns no units and runs no
// requests: empty mct-2 3s.
func empty(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		st, err := stateOf(ts).cluster.Status(ctx)
		ts.Check(err)
		for _, dc := range st.DataCentres {
			if dc.Name == args[0] && dc.Units == 0 && dc.Running == 0 {
				took := time.Since(begin)
				ts.Logf("%s was empty after %s", args[0], took.Round(time.Millisecond))
				if took > limit {
					ts.Fatalf("%s was empty after %s, limit %s", args[0], took, limit)
				}
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// revisions waits until the dumps of all processes with targets show document
// revision N, and fails if one shows a later one: revisions N.
func revisions(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, n := range stateOf(ts).cluster.Nodes {
		for {
			d, err := n.Dump(ctx)
			ts.Check(err)
			if d.ConfigRevision == want {
				break
			}
			if d.ConfigRevision > want || ctx.Err() != nil {
				ts.Fatalf("%s has revision %d instead of %d", n.ID, d.ConfigRevision, want)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
