package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"bramleyquay.example/router/harness"
)

// bench is a cluster under load into which faults are injected.
type bench struct {
	cluster *harness.Cluster
	loads   []*harness.Load
	leader  *harness.Node

	mu   sync.Mutex
	down map[string]bool
	errs []error
}

const (
	// faultDuration is how long a fault lasts: longer than the 2 s within which units
	// must be served again.
	faultDuration = 3500 * time.Millisecond
	// repairTimeout bounds the wait until all units are served again.
	repairTimeout = 30 * time.Second
)

func run(ctx context.Context, o options) error {
	folder := o.Folder
	if folder == "" {
		temporary, err := os.MkdirTemp("", "bramleyquay-faults-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		folder = temporary
	}
	l := harness.MuscatLayout()
	l.Folder, l.Daemon, l.Standin, l.Template = folder, o.Daemon, o.Standin, filepath.Join(o.Examples, "process.hujson.tmpl")
	c, err := harness.New(l)
	if err != nil {
		return err
	}
	defer c.Stop()
	b := &bench{cluster: c, down: map[string]bool{}}
	if err := b.start(ctx, filepath.Join(o.Examples, "document.hujson")); err != nil {
		return err
	}
	fmt.Println("| fault | catalogue ms | enrolment ms | learners ms | not-run | unknown |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, group := range faults {
		if !strings.Contains(rowName(group), o.Only) {
			continue
		}
		if err := b.measure(ctx, group, o.Reasons); err != nil {
			return err
		}
	}
	return b.finish()
}

func (b *bench) start(ctx context.Context, document string) error {
	text, err := os.ReadFile(document)
	if err != nil {
		return err
	}
	if err := b.cluster.Start(); err != nil {
		return err
	}
	if _, err := b.cluster.Apply(ctx, 0, "faults", string(text)); err != nil {
		return err
	}
	if err := b.cluster.AwaitServing(ctx); err != nil {
		return err
	}
	b.loads = []*harness.Load{
		{Service: "catalogue", Keyed: true, Callers: 24, Pause: 5 * time.Millisecond},
		{Service: "enrolment", Payments: true, Callers: 12, Pause: 10 * time.Millisecond},
		{Service: "learners", Callers: 12, Pause: 10 * time.Millisecond},
	}
	for _, l := range b.loads {
		l.PickAddress, l.Timeout = b.pickAddress, 5*time.Second
		l.Start()
	}
	return nil
}

// measure injects the faults of a group one right after the other, waits for
// faultDuration, prints one row, repairs the faults and waits until all units are
// served.
func (b *bench) measure(ctx context.Context, group []fault, reasons bool) error {
	time.Sleep(time.Second)
	var err error
	if b.leader, err = b.cluster.Leader(ctx); err != nil {
		return err
	}
	var before [2]int
	for _, l := range b.loads {
		l.ResetUnserved()
		n := l.Counts()
		before[0], before[1] = before[0]+n.NotRun, before[1]+n.Unknown
	}
	reasonsBefore := b.reasons()
	for _, f := range group {
		f.inject(b)
	}
	time.Sleep(faultDuration)
	row := "| " + rowName(group) + " |"
	notRun, unknown := -before[0], -before[1]
	for _, l := range b.loads {
		row += fmt.Sprintf(" %d |", l.LongestUnserved().Milliseconds())
		n := l.Counts()
		notRun, unknown = notRun+n.NotRun, unknown+n.Unknown
	}
	fmt.Printf("%s %d | %d |\n", row, notRun, unknown)
	if reasons {
		for text, n := range b.reasons() {
			if n > reasonsBefore[text] {
				fmt.Printf("  %d x %s\n", n-reasonsBefore[text], text)
			}
		}
	}
	for _, f := range group {
		f.repair(b)
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	return b.cluster.AwaitServing(ctx)
}

func rowName(group []fault) string {
	names := make([]string, 0, len(group))
	for _, f := range group {
		names = append(names, f.name)
	}
	return strings.Join(names, " + ")
}

// reasons returns the number of answers so far with outcome not-run or unknown, by
// service and text.
func (b *bench) reasons() map[string]int {
	out := map[string]int{}
	for _, l := range b.loads {
		for text, n := range l.Counts().ByReason {
			out[l.Service+" "+text] += n
		}
	}
	return out
}

// finish stops the load and checks the payments and keyed requests of the whole run.
func (b *bench) finish() error {
	for _, l := range b.loads {
		l.Stop()
	}
	runs, err := b.cluster.Runs()
	if err != nil {
		return err
	}
	twice, missing := harness.CheckPayments(runs, b.loads[1].ConfirmedPayments())
	fmt.Printf("\npayments run: %d, run twice: %d, confirmed without a run: %d\n", len(runs), twice, missing)
	intervals, err := b.cluster.Intervals("catalogue")
	if err != nil {
		return err
	}
	x, y, overlap := harness.Overlap(intervals)
	fmt.Printf("keyed requests: %d, two owners at once: %t\n", len(intervals), overlap)
	if overlap {
		b.addError(fmt.Errorf("two owners: %+v and %+v", x, y))
	}
	if twice+missing > 0 {
		b.addError(errors.New("payments ran more than once, or were confirmed without a run"))
	}
	return errors.Join(b.errs...)
}

// addError records an error, unless it is nil, to return at the end of the run.
func (b *bench) addError(err error) {
	if err != nil {
		b.errs = append(b.errs, err)
	}
}

// markDown marks n, which is about to fail, as a node to which callers send no new
// requests, and returns n.
func (b *bench) markDown(n *harness.Node) *harness.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[n.ID] = true
	return n
}

// restart resumes or restarts all processes and waits until they are ready.
func (b *bench) restart() {
	ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
	defer cancel()
	for _, n := range b.cluster.All() {
		n.Daemon.Resume()
		b.addError(n.Start())
		b.addError(n.AwaitReady(ctx))
		b.mu.Lock()
		delete(b.down, n.ID)
		b.mu.Unlock()
	}
}

// pickAddress returns the address for callers of a random process that is not down.
func (b *bench) pickAddress(r *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		n := b.cluster.Nodes[r.IntN(len(b.cluster.Nodes))]
		if !b.down[n.ID] {
			return n.Caller
		}
	}
}
