package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"bramleyquay.example/router/harness"
)

// event is one fault.
type event struct {
	at, lasts time.Duration
	kind      string
	victim    *harness.FleetNode
}

// String returns what a log of the run shows.
func (e event) String() string {
	return fmt.Sprintf("%.1fs %s %s for %.1fs", e.at.Seconds(), e.kind, e.victim.Name, e.lasts.Seconds())
}

// The kinds of fault. Those of members are drawn for replicas too, but for the
// ones about targets.
var (
	processKinds = []string{"kill", "terminate", "freeze", "delay", "reset", "cut-there", "cut-back", "silence"}
	targetKinds  = []string{"target-kill", "target-terminate", "target-freeze"}
)

const (
	// faultCount faults begin within faultTime, so that two or three of them
	// last at any time.
	faultTime  = 12 * time.Second
	faultCount = 12
	// A fault lasts from one announcement interval to longer than a lease.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// linkDelay is that of two distant regions.
	linkDelay = 40 * time.Millisecond
	// A replica loses its disk in wipeShare of the runs, in the middle of the
	// other faults; all members are stopped in turn in rollShare of them, so
	// fast that the stops overlap.
	wipeAt    = 6 * time.Second
	wipeShare = 0.3
	rollShare = 0.3
	rollPause = 700 * time.Millisecond
	// killedLimit is the time for a planned stop on a busy machine.
	killedLimit = shutdownTimeout + 2*time.Second
)

// plan draws the faults of a run; they overlap as they come.
func plan(c *cluster, rng *rand.Rand) []event {
	var out []event
	for range faultCount {
		e := event{
			at:    time.Duration(rng.Int64N(int64(faultTime))),
			lasts: minFault + time.Duration(rng.Int64N(int64(maxFault-minFault))),
		}
		all := c.All()
		e.victim = all[rng.IntN(len(all))]
		kinds := processKinds
		if e.victim.Target != nil && rng.IntN(2) == 0 {
			kinds = targetKinds
		}
		e.kind = kinds[rng.IntN(len(kinds))]
		out = append(out, e)
	}
	if rng.Float64() < wipeShare {
		// One replica in a run: the group is built to bear one loss of a disk.
		out = append(out, event{at: wipeAt, lasts: minFault, kind: "wipe", victim: c.Replicas[rng.IntN(len(c.Replicas))]})
	}
	if rng.Float64() < rollShare {
		for i, m := range c.Members {
			out = append(out, event{at: time.Duration(i) * rollPause, lasts: minFault, kind: "terminate", victim: m})
		}
	}
	return out
}

// injector plays events side by side. Faults of one process that overlap are
// one fault that lasts until all have ended.
type injector struct {
	c      *cluster
	mu     sync.Mutex
	down   map[string]int
	frozen map[string]int
	faults []string
	spans  []span
}

// span is the time in which the process of a node was disturbed.
type span struct {
	node     string
	planned  bool // by SIGTERM alone
	from, to time.Time
}

func (in *injector) note(n *harness.FleetNode, planned bool, from time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.spans = append(in.spans, span{n.Name, planned, from, time.Now()})
}

func (in *injector) play(events []event) {
	var wait sync.WaitGroup
	for _, e := range events {
		wait.Go(func() {
			time.Sleep(e.at)
			in.run(e)
		})
	}
	wait.Wait()
}

func (in *injector) run(e event) {
	n := e.victim
	links := func(f func(i int)) {
		for i := range n.Links {
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
		links(func(i int) { n.Links[i].Delay(linkDelay) })
		time.Sleep(e.lasts)
		links(func(i int) { n.Links[i].Heal() })
	case "reset":
		links(func(i int) { n.Links[i].Reset() })
	case "cut-there", "cut-back", "silence":
		links(func(i int) { n.Links[i].Cut(e.kind != "cut-back", e.kind != "cut-there") })
		time.Sleep(e.lasts)
		links(func(i int) { n.Links[i].Heal() })
	}
}

// outage ends a process and starts it again once no other outage of it lasts.
func (in *injector) outage(e event, what string) {
	p := e.victim.Daemon
	if what == "target" {
		p = e.victim.Target
	} else {
		defer in.note(e.victim, e.kind == "terminate", time.Now())
	}
	name := e.victim.Name + " " + what
	in.mu.Lock()
	in.down[name]++
	first, frozen := in.down[name] == 1, in.frozen[name] > 0
	in.mu.Unlock()
	switch {
	case e.kind == "terminate" || e.kind == "target-terminate":
		if !first || frozen {
			break // a signal to a process that is down or frozen tells nothing
		}
		if code := p.Terminate(killedLimit); code > 0 {
			in.fault("%s ended with code %d after SIGTERM", name, code)
		}
		p.Kill()
	default:
		p.Kill()
	}
	if e.kind == "wipe" {
		data := e.victim.DataFolder
		if err := os.RemoveAll(data); err != nil {
			in.fault("wipe: %v", err)
		}
		if err := os.Mkdir(data, 0o700); err != nil {
			in.fault("wipe: %v", err)
		}
	}
	time.Sleep(e.lasts)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.down[name]--; in.down[name] == 0 {
		if err := p.Start(); err != nil {
			in.faults = append(in.faults, fmt.Sprintf("%s does not start: %v", name, err))
		}
	}
}

func (in *injector) freeze(e event) {
	p, name := e.victim.Daemon, e.victim.Name+" daemon"
	if e.kind == "target-freeze" {
		p, name = e.victim.Target, e.victim.Name+" target"
	} else {
		defer in.note(e.victim, false, time.Now())
	}
	in.mu.Lock()
	in.frozen[name]++
	in.mu.Unlock()
	p.Freeze()
	time.Sleep(e.lasts)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.frozen[name]--; in.frozen[name] == 0 {
		p.Resume()
	}
}

func (in *injector) fault(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = append(in.faults, fmt.Sprintf(format, args...))
}
