package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/rangetarget"
)

// fault is one fault of a run.
type fault struct {
	start, duration time.Duration
	kind            string
	node            *harness.FleetNode
}

// String returns the fault as it is logged: start, kind, node and duration.
func (f fault) String() string {
	return fmt.Sprintf("%.1fs %s %s for %.1fs", f.start.Seconds(), f.kind, f.node.Name, f.duration.Seconds())
}

// The kinds of fault: processFaults affect the process of any node and the proxies
// in front of it, targetFaults the target of a member.
var (
	processFaults = []string{"kill", "terminate", "freeze", "delay", "reset", "drop-upstream", "drop-downstream", "drop-both"}
	targetFaults  = []string{"target-kill", "target-terminate", "target-freeze"}
)

const (
	// faultCount faults begin within faultTime, so that two or three of them overlap
	// at any time.
	faultTime  = 12 * time.Second
	faultCount = 12
	// minFault is one announcement interval; maxFault is longer than a lease.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// limitCount targets name limitPerSecond as their limit for limitTime; without it
	// they get about 100 requests per second.
	limitCount     = 2
	limitPerSecond = 10
	limitTime      = 8 * time.Second
	// badCount targets reject or fail badShare of their requests for a while.
	badCount = 2
	badShare = 0.5
	// proxyDelay is the network delay between two distant regions.
	proxyDelay = 40 * time.Millisecond
	// In wipeShare of the runs a replica loses its disk, in the middle of the other
	// faults. In rollingStopShare of the runs all members are stopped one after the
	// other, so fast that the stops overlap.
	wipeAt           = 6 * time.Second
	wipeShare        = 0.3
	rollingStopShare = 0.3
	rollingStopPause = 700 * time.Millisecond
	// terminateTimeout bounds the wait for the end of a planned stop on a busy machine.
	terminateTimeout = shutdownTimeout + 2*time.Second
)

// planFaults returns the random faults of a run, which may overlap.
func planFaults(c *cluster, rng *rand.Rand) []fault {
	var out []fault
	for range faultCount {
		f := fault{
			start:    time.Duration(rng.Int64N(int64(faultTime))),
			duration: minFault + time.Duration(rng.Int64N(int64(maxFault-minFault))),
		}
		all := c.All()
		f.node = all[rng.IntN(len(all))]
		kinds := processFaults
		if f.node.Target != nil && rng.IntN(2) == 0 {
			kinds = targetFaults
		}
		f.kind = kinds[rng.IntN(len(kinds))]
		out = append(out, f)
	}
	if rng.Float64() < wipeShare {
		// At most one replica in a run: the control group tolerates the loss of one disk.
		out = append(out, fault{start: wipeAt, duration: minFault, kind: "wipe", node: c.Replicas[rng.IntN(len(c.Replicas))]})
	}
	if rng.Float64() < rollingStopShare {
		for i, m := range c.Members {
			out = append(out, fault{start: time.Duration(i) * rollingStopPause, duration: minFault, kind: "terminate", node: m})
		}
	}
	// Drawn last, so that the other faults of a seed stay the same.
	for range limitCount {
		out = append(out, fault{start: time.Duration(rng.Int64N(int64(faultTime / 2))), duration: limitTime, kind: "limit", node: c.Members[rng.IntN(len(c.Members))]})
	}
	for range badCount {
		duration := minFault + time.Duration(rng.Int64N(int64(maxFault-minFault)))
		out = append(out, fault{start: time.Duration(rng.Int64N(int64(faultTime))), duration: duration, kind: []string{"reject", "fail"}[rng.IntN(2)], node: c.Members[rng.IntN(len(c.Members))]})
	}
	return out
}

// injector injects faults concurrently. Overlapping outages or freezes of one process
// end when the last of them ends. outages and freezes count those in progress by node
// and process, for example "member-1 target".
type injector struct {
	c            *cluster
	mu           sync.Mutex
	outages      map[string]int
	freezes      map[string]int
	violations   []string
	disturbances []disturbance
}

// disturbance is a time in which the process of a node was stopped or frozen.
type disturbance struct {
	node     string
	planned  bool // a stop by SIGTERM; other faults of the process are disturbances of their own
	from, to time.Time
}

// addDisturbance records that a disturbance of the node's process ends now.
func (in *injector) addDisturbance(n *harness.FleetNode, planned bool, from time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.disturbances = append(in.disturbances, disturbance{n.Name, planned, from, time.Now()})
}

// injectAll injects each fault at its start time and blocks until all have ended.
func (in *injector) injectAll(faults []fault) {
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(f.start)
			in.inject(f)
		})
	}
	wg.Wait()
}

// inject injects a fault and blocks until it has ended.
func (in *injector) inject(f fault) {
	n := f.node
	forEachProxy := func(apply func(i int)) {
		for i := range n.Proxies {
			apply(i)
		}
	}
	switch f.kind {
	case "kill", "wipe", "terminate":
		in.outage(f, "daemon")
	case "target-kill", "target-terminate":
		in.outage(f, "target")
	case "freeze", "target-freeze":
		in.freeze(f)
	case "limit":
		in.callTarget(f, rangetarget.PathLimit, rangetarget.LimitRequest{PerSecond: limitPerSecond, ForMs: f.duration.Milliseconds()})
	case "reject", "fail":
		in.callTarget(f, rangetarget.PathBad, rangetarget.BadRequest{Share: badShare, Fail: f.kind == "fail", ForMs: f.duration.Milliseconds()})
	case "delay":
		forEachProxy(func(i int) { n.Proxies[i].Delay(proxyDelay) })
		time.Sleep(f.duration)
		forEachProxy(func(i int) { n.Proxies[i].Heal() })
	case "reset":
		forEachProxy(func(i int) { n.Proxies[i].Reset() })
	case "drop-upstream", "drop-downstream", "drop-both":
		forEachProxy(func(i int) { n.Proxies[i].Cut(f.kind != "drop-downstream", f.kind != "drop-upstream") })
		time.Sleep(f.duration)
		forEachProxy(func(i int) { n.Proxies[i].Heal() })
	}
}

// outage stops a process and restarts it at the end of its last overlapping outage.
func (in *injector) outage(f fault, process string) {
	p := f.node.Daemon
	if process == "target" {
		p = f.node.Target
	} else {
		defer in.addDisturbance(f.node, f.kind == "terminate", time.Now())
	}
	name := f.node.Name + " " + process
	in.mu.Lock()
	in.outages[name]++
	first, frozen := in.outages[name] == 1, in.freezes[name] > 0
	in.mu.Unlock()
	switch {
	case f.kind == "terminate" || f.kind == "target-terminate":
		if !first || frozen {
			break // it is down already, or would not handle SIGTERM while it is frozen
		}
		// A code of -1 is no violation: the process did not exit within
		// terminateTimeout, or an overlapping fault killed it.
		if code := p.Terminate(terminateTimeout); code > 0 {
			in.addViolation("%s ended with code %d after SIGTERM", name, code)
		}
		p.Kill()
	default:
		p.Kill()
	}
	if f.kind == "wipe" {
		data := f.node.DataFolder
		if err := os.RemoveAll(data); err != nil {
			in.addViolation("wipe: %v", err)
		}
		if err := os.Mkdir(data, 0o700); err != nil {
			in.addViolation("wipe: %v", err)
		}
	}
	time.Sleep(f.duration)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.outages[name]--; in.outages[name] == 0 {
		if err := p.Start(); err != nil {
			in.violations = append(in.violations, fmt.Sprintf("%s cannot be restarted: %v", name, err))
		}
	}
}

// freeze suspends a process and resumes it at the end of its last overlapping freeze.
func (in *injector) freeze(f fault) {
	p, name := f.node.Daemon, f.node.Name+" daemon"
	if f.kind == "target-freeze" {
		p, name = f.node.Target, f.node.Name+" target"
	} else {
		defer in.addDisturbance(f.node, false, time.Now())
	}
	in.mu.Lock()
	in.freezes[name]++
	in.mu.Unlock()
	p.Freeze()
	time.Sleep(f.duration)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.freezes[name]--; in.freezes[name] == 0 {
		p.Resume()
	}
}

// callTarget tells the target of a node how to behave, if it is running.
func (in *injector) callTarget(f fault, path string, call any) {
	text, err := json.Marshal(call)
	if err != nil {
		in.addViolation("%s: %v", f.kind, err)
		return
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+f.node.Address(harness.FleetTargetPort)+path, "application/json", bytes.NewReader(text))
	if err != nil {
		in.c.t.Logf("%s cannot be told to %s: %v", f.node.Name, f.kind, err) // another fault has stopped it
		return
	}
	_ = resp.Body.Close() // empty
}

func (in *injector) addViolation(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.violations = append(in.violations, fmt.Sprintf(format, args...))
}
