package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"bramleyquay.example/router/harness"
)

// fault is one fault.
type fault struct {
	start, duration time.Duration
	kind            string
	node            *harness.FleetNode
}

// String returns what a log of the run shows.
func (e fault) String() string {
	return fmt.Sprintf("%.1fs %s %s for %.1fs", e.start.Seconds(), e.kind, e.node.Name, e.duration.Seconds())
}

// The kinds of fault. Those of members are drawn for replicas too, but for the
// ones about targets.
var (
	processFaults = []string{"kill", "terminate", "freeze", "delay", "reset", "cut-there", "cut-back", "silence"}
	targetFaults  = []string{"target-kill", "target-terminate", "target-freeze"}
)

const (
	// faultCount faults begin within faultTime, so that two or three of them
	// last at any time.
	faultTime  = 12 * time.Second
	faultCount = 12
	// A fault lasts from one announcement interval to longer than a lease.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// proxyDelay is that of two distant regions.
	proxyDelay = 40 * time.Millisecond
	// A replica loses its disk in wipeShare of the runs, in the middle of the
	// other faults; all members are stopped in turn in rollShare of them, so
	// fast that the stops overlap.
	wipeAt           = 6 * time.Second
	wipeShare        = 0.3
	rollingStopShare = 0.3
	rollingStopPause = 700 * time.Millisecond
	// terminateTimeout is the time for a planned stop on a busy machine.
	terminateTimeout = shutdownTimeout + 2*time.Second
)

// planFaults draws the faults of a run; they overlap as they come.
func planFaults(c *cluster, rng *rand.Rand) []fault {
	var out []fault
	for range faultCount {
		e := fault{
			start:    time.Duration(rng.Int64N(int64(faultTime))),
			duration: minFault + time.Duration(rng.Int64N(int64(maxFault-minFault))),
		}
		all := c.All()
		e.node = all[rng.IntN(len(all))]
		kinds := processFaults
		if e.node.Target != nil && rng.IntN(2) == 0 {
			kinds = targetFaults
		}
		e.kind = kinds[rng.IntN(len(kinds))]
		out = append(out, e)
	}
	if rng.Float64() < wipeShare {
		// One replica in a run: the group is built to bear one loss of a disk.
		out = append(out, fault{start: wipeAt, duration: minFault, kind: "wipe", node: c.Replicas[rng.IntN(len(c.Replicas))]})
	}
	if rng.Float64() < rollingStopShare {
		for i, m := range c.Members {
			out = append(out, fault{start: time.Duration(i) * rollingStopPause, duration: minFault, kind: "terminate", node: m})
		}
	}
	return out
}

// injector plays events side by side. Faults of one process that overlap are
// one fault that lasts until all have ended.
type injector struct {
	c            *cluster
	mu           sync.Mutex
	outages      map[string]int
	freezes      map[string]int
	violations   []string
	disturbances []disturbance
}

// disturbance is the time in which the process of a node was disturbed.
type disturbance struct {
	node     string
	planned  bool // by SIGTERM alone
	from, to time.Time
}

func (in *injector) addDisturbance(n *harness.FleetNode, planned bool, from time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.disturbances = append(in.disturbances, disturbance{n.Name, planned, from, time.Now()})
}

func (in *injector) injectAll(events []fault) {
	var wait sync.WaitGroup
	for _, e := range events {
		wait.Go(func() {
			time.Sleep(e.start)
			in.inject(e)
		})
	}
	wait.Wait()
}

func (in *injector) inject(e fault) {
	n := e.node
	links := func(f func(i int)) {
		for i := range n.Proxies {
			f(i)
		}
	}
	switch e.kind {
	case "kill", "wipe", "terminate":
		in.outage(e, "daemon")
	case "target-kill", "target-terminate":
		in.outage(e, "target")
	case "freeze", "target-freeze":
		in.freeze(e)
	case "delay":
		links(func(i int) { n.Proxies[i].Delay(proxyDelay) })
		time.Sleep(e.duration)
		links(func(i int) { n.Proxies[i].Heal() })
	case "reset":
		links(func(i int) { n.Proxies[i].Reset() })
	case "cut-there", "cut-back", "silence":
		links(func(i int) { n.Proxies[i].Cut(e.kind != "cut-back", e.kind != "cut-there") })
		time.Sleep(e.duration)
		links(func(i int) { n.Proxies[i].Heal() })
	}
}

// outage ends a process and starts it again once no other outage of it lasts.
func (in *injector) outage(e fault, what string) {
	p := e.node.Daemon
	if what == "target" {
		p = e.node.Target
	} else {
		defer in.addDisturbance(e.node, e.kind == "terminate", time.Now())
	}
	name := e.node.Name + " " + what
	in.mu.Lock()
	in.outages[name]++
	first, frozen := in.outages[name] == 1, in.freezes[name] > 0
	in.mu.Unlock()
	switch {
	case e.kind == "terminate" || e.kind == "target-terminate":
		if !first || frozen {
			break // a signal to a process that is down or frozen tells nothing
		}
		if code := p.Terminate(terminateTimeout); code > 0 {
			in.addViolation("%s ended with code %d after SIGTERM", name, code)
		}
		p.Kill()
	default:
		p.Kill()
	}
	if e.kind == "wipe" {
		data := e.node.DataFolder
		if err := os.RemoveAll(data); err != nil {
			in.addViolation("wipe: %v", err)
		}
		if err := os.Mkdir(data, 0o700); err != nil {
			in.addViolation("wipe: %v", err)
		}
	}
	time.Sleep(e.duration)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.outages[name]--; in.outages[name] == 0 {
		if err := p.Start(); err != nil {
			in.violations = append(in.violations, fmt.Sprintf("%s does not start: %v", name, err))
		}
	}
}

func (in *injector) freeze(e fault) {
	p, name := e.node.Daemon, e.node.Name+" daemon"
	if e.kind == "target-freeze" {
		p, name = e.node.Target, e.node.Name+" target"
	} else {
		defer in.addDisturbance(e.node, false, time.Now())
	}
	in.mu.Lock()
	in.freezes[name]++
	in.mu.Unlock()
	p.Freeze()
	time.Sleep(e.duration)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.freezes[name]--; in.freezes[name] == 0 {
		p.Resume()
	}
}

func (in *injector) addViolation(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.violations = append(in.violations, fmt.Sprintf(format, args...))
}
