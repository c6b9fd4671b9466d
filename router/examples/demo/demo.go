package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/operator"
)

// demo is one run of the demo on a cluster with hashed shards.
type demo struct {
	cluster *harness.Cluster
	loads   []*harness.Load
	// killed is the node that the demo has killed and not returned to service yet.
	killed atomic.Pointer[harness.Node]
	// failures lists the checks that failed.
	failures []string
}

func run(ctx context.Context, o options) error {
	folder, cleanup, err := workFolder(o)
	if err != nil {
		return err
	}
	defer cleanup()
	layout := harness.MuscatLayout()
	layout.Folder, layout.Daemon, layout.Standin = folder, o.Daemon, o.Standin
	layout.Template = filepath.Join(o.Examples, "process.hujson.tmpl")
	c, err := harness.New(layout)
	if err != nil {
		return err
	}
	defer c.Stop()
	d := &demo{cluster: c}
	if err := d.start(ctx, filepath.Join(o.Examples, "document.hujson")); err != nil {
		return err
	}
	if err := d.runFaults(ctx); err != nil {
		return err
	}
	if err := d.report(); err != nil {
		return err
	}
	for _, grantsByRequest := range []bool{false, true} {
		if err := runRanges(ctx, o, folder, grantsByRequest); err != nil {
			return err
		}
	}
	return nil
}

// workFolder returns the folder for settings, logs and data, and a function that
// removes it if it is temporary and not to be kept.
func workFolder(o options) (string, func(), error) {
	if o.Folder != "" {
		return o.Folder, func() {}, os.MkdirAll(o.Folder, 0o700)
	}
	folder, err := os.MkdirTemp("", "bramleyquay-demo-")
	if err != nil || o.Keep {
		fmt.Println("folder:", folder)
		return folder, func() {}, err
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil // a folder that remains is harmless
}

func (d *demo) start(ctx context.Context, document string) error {
	logf("starting 3 control replicas, and 11 targets with their sidecar processes")
	text, err := os.ReadFile(document)
	if err != nil {
		return err
	}
	if err := d.cluster.Start(); err != nil {
		return err
	}
	reply, err := d.cluster.Apply(ctx, 0, "demo-1", string(text))
	if err != nil {
		return err
	}
	if reply.Revision == 0 {
		return fmt.Errorf("the document was not accepted: %v", reply.Findings)
	}
	logf("document accepted as revision %d", reply.Revision)
	if err := d.cluster.AwaitServing(ctx); err != nil {
		return err
	}
	d.startLoad()
	return nil
}

func (d *demo) startLoad() {
	d.loads = []*harness.Load{
		{Service: "catalogue", Keyed: true, Callers: 24, Pause: 5 * time.Millisecond},
		{Service: "enrolment", Payments: true, Callers: 8, Pause: 10 * time.Millisecond},
		{Service: "learners", Callers: 8, Pause: 10 * time.Millisecond},
	}
	for _, l := range d.loads {
		l.PickAddress, l.Timeout = d.pickAddress, 3*time.Second
		l.Start()
	}
}

// pickAddress returns the address for callers of a random process that is not killed.
func (d *demo) pickAddress(r *rand.Rand) string {
	for {
		n := d.cluster.Nodes[r.IntN(len(d.cluster.Nodes))]
		if n != d.killed.Load() {
			return n.Caller
		}
	}
}

// runFaults kills a process, restarts it, and drains a data centre.
func (d *demo) runFaults(ctx context.Context) error {
	logf("all units are served under a load of reads and payments")
	if err := wait(ctx, 4*time.Second); err != nil {
		return err
	}
	victim := d.cluster.NodesOf("catalogue")[1]
	logf("killing %s (SIGKILL)", victim.ID)
	d.killed.Store(victim)
	victim.Daemon.Kill()
	if err := wait(ctx, 4*time.Second); err != nil {
		return err
	}
	logf("starting %s again", victim.ID)
	if err := victim.Daemon.Start(); err != nil {
		return err
	}
	if err := wait(ctx, 3*time.Second); err != nil {
		return err
	}
	d.killed.Store(nil)
	return d.drain(ctx, "mct-2")
}

// drain takes a data centre out of service, checks that it owns no units, and returns
// it.
func (d *demo) drain(ctx context.Context, name string) error {
	logf("taking data centre %s out of service", name)
	if err := d.cluster.Drain(ctx, operator.ScopeDataCentre, name, true); err != nil {
		return err
	}
	if err := wait(ctx, 6*time.Second); err != nil {
		return err
	}
	st, err := d.cluster.Status(ctx)
	if err != nil {
		return err
	}
	for _, dc := range st.DataCentres {
		if dc.Name == name {
			logf("data centre %s owns %d units and runs %d requests", name, dc.Units, dc.Running)
			d.require(dc.Units == 0, "the drained data centre still owns units")
		}
	}
	logf("returning data centre %s", name)
	if err := d.cluster.Drain(ctx, operator.ScopeDataCentre, name, false); err != nil {
		return err
	}
	return wait(ctx, 6*time.Second)
}

// require records a failed check unless ok.
func (d *demo) require(ok bool, text string) {
	if !ok {
		d.failures = append(d.failures, text)
	}
}

// maxUnserved bounds the time in which a key is not served after a loss: 2 s, and the
// pause of the callers between two requests for one key.
const maxUnserved = 2500 * time.Millisecond

// report stops the load, prints its results, checks them and returns an error if a
// check of the run has failed.
func (d *demo) report() error {
	fmt.Printf("\n%-12s %8s %8s %8s %8s %12s\n", "service", "served", "not-run", "unknown", "no reply", "max unserved")
	for _, l := range d.loads {
		l.Stop()
		n := l.Counts()
		fmt.Printf("%-12s %8d %8d %8d %8d %12s\n", l.Service, n.Served, n.NotRun, n.Unknown, n.Unanswered, l.LongestUnserved().Round(time.Millisecond))
		for reason, times := range n.ByReason {
			fmt.Printf("  %5d x %s\n", times, reason)
		}
		d.require(n.Served > 0, l.Service+" served no request")
		d.require(len(l.MismatchedAnswers()) == 0, fmt.Sprintf("%s got %d answers of other requests", l.Service, len(l.MismatchedAnswers())))
		d.require(l.LongestUnserved() <= maxUnserved, fmt.Sprintf("%s was unserved for %s", l.Service, l.LongestUnserved()))
	}
	runs, err := d.cluster.Runs()
	if err != nil {
		return err
	}
	twice, missing := harness.CheckPayments(runs, d.loads[1].ConfirmedPayments())
	fmt.Printf("\npayments run: %d\npayments run twice: %d\npayments confirmed without a run: %d\n", len(runs), twice, missing)
	d.require(twice == 0, "payments ran twice")
	d.require(missing == 0, "payments were confirmed without a run")
	if len(d.failures) > 0 {
		return errors.New("failed checks: " + fmt.Sprint(d.failures))
	}
	fmt.Println("all checks passed")
	return nil
}

var startTime = time.Now()

// logf prints a line with the time since the start of the demo.
func logf(format string, args ...any) {
	fmt.Printf("%6.1fs  %s\n", time.Since(startTime).Seconds(), fmt.Sprintf(format, args...))
}

// wait blocks for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
